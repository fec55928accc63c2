//! A minimal HTTP/1.1 reader and writer over blocking sockets.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::time::Duration;

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first_line: String,
    /// The headers, with names in lower case.
    pub headers: BTreeMap<String, String>,
    /// The length of the body.
    pub body_len: usize,
    /// A simple checksum of the body.
    pub body_sum: u64,
    /// The body, if it was kept.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns a header, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns the status of an answer, 0 if it has none.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
}

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
}

/// A connection with the bytes that were read and not used yet.
pub struct Conn {
    /// The socket.
    pub stream: TcpStream,
    buf: Vec<u8>,
}

/// Adds `bytes` to the checksum `sum`.
pub fn add_sum(sum: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(sum, |sum, &b| sum.wrapping_mul(31).wrapping_add(u64::from(b)))
}

impl Conn {
    /// Wraps a connected socket.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buf: Vec::new() }
    }

    /// Connects to `addr` within one second.
    pub fn connect(addr: SocketAddr) -> io::Result<Self> {
        TcpStream::connect_timeout(&addr, Duration::from_secs(1)).map(Self::new)
    }

    /// Bounds the receive window.
    pub fn set_window(&self, bytes: i32) {
        const SOL_SOCKET: i32 = 1;
        const SO_RCVBUF: i32 = 8;
        // SAFETY: the socket is open, and the value is a number of the length that is given.
        unsafe { setsockopt(self.stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, 4) };
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 64 * 1024];
        let n = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..n]);
        Ok(n)
    }

    /// Reads a head; `None` if the connection ends before its first byte.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.buf.windows(4).position(|four| four == b"\r\n\r\n") {
                break at + 4;
            }
            if self.fill()? == 0 {
                return match self.buf.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        };
        let head = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        self.buf.drain(..end);
        let mut lines = head.split("\r\n");
        let first_line = lines.next().unwrap_or("").to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()))
            .collect();
        Ok(Some(Message { first_line, headers, ..Message::default() }))
    }

    /// Reads `len` bytes of a body into `message`; keeps them if `keep`.
    fn take(&mut self, message: &mut Message, mut len: usize, keep: bool) -> io::Result<()> {
        while len > 0 {
            if self.buf.is_empty() && self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let n = self.buf.len().min(len);
            message.body_sum = add_sum(message.body_sum, &self.buf[..n]);
            message.body_len += n;
            if keep {
                message.body.extend_from_slice(&self.buf[..n]);
            }
            self.buf.drain(..n);
            len -= n;
        }
        Ok(())
    }

    /// Reads the line before a chunk, which tells its length.
    pub fn read_chunk_len(&mut self) -> io::Result<usize> {
        let line = self.read_line()?;
        usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
            .map_err(|_| io::ErrorKind::InvalidData.into())
    }

    /// Returns a reader of the bytes that follow.
    pub fn buffered(&mut self) -> impl Read + '_ {
        Buffered(self)
    }

    /// Reads a line.
    pub fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buf.windows(2).position(|two| two == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..at]).into_owned();
                self.buf.drain(..at + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the body that belongs to the head in `message`.
    pub fn read_body(&mut self, message: &mut Message, keep: bool) -> io::Result<()> {
        if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            loop {
                let size = self.read_chunk_len()?;
                self.take(message, size, keep)?;
                self.read_line()?;
                if size == 0 {
                    return Ok(());
                }
            }
        }
        let len = message.header("content-length").parse().unwrap_or(0);
        self.take(message, len, keep)
    }

    /// Reads a request or an answer with its body; `None` if the connection ends before it.
    pub fn read(&mut self, keep: bool) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else { return Ok(None) };
        self.read_body(&mut message, keep)?;
        Ok(Some(message))
    }

    /// Writes `bytes`.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Writes an answer with `headers`, each line ended by CR LF.
    pub fn answer(&mut self, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
        let mut out =
            format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n{headers}\r\n", body.len())
                .into_bytes();
        out.extend_from_slice(body);
        self.write(&out)
    }

    /// Whether the other side has closed the connection.
    pub fn is_closed(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let mut one = [0];
        let peeked = self.stream.peek(&mut one);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(0) => true,
            Ok(_) => false,
            Err(e) => e.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

/// Reads what a connection has buffered, then its socket.
struct Buffered<'c>(&'c mut Conn);

impl Read for Buffered<'_> {
    fn read(&mut self, out: &mut [u8]) -> io::Result<usize> {
        let Conn { stream, buf } = &mut *self.0;
        if buf.is_empty() {
            return stream.read(out);
        }
        let n = buf.len().min(out.len());
        out[..n].copy_from_slice(&buf[..n]);
        buf.drain(..n);
        Ok(n)
    }
}
