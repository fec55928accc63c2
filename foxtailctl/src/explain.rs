//! Explains how a request was handled, from the logs of entry hosts.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::path::Path;

use anyhow::Context;
use serde::Serialize;

use crate::failure::Failure;
use crate::output::Output;

/// How many seconds before the first line of a request the explanation begins to include events of
/// its upstreams and of the whole site. They show the state that its host acted on.
const CONTEXT_BEFORE_S: f64 = 3.0;

/// Events that change a host's view of the whole site.
const SITE_EVENTS: [&str; 6] =
    ["store_lost", "store_regained", "config", "evacuation", "reload", "stop"];

/// Events that change a host's view of one upstream.
const UPSTREAM_EVENTS: [&str; 3] = ["upstream", "upstream_gone", "connect_failed"];

/// A parsed line of a log.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct LogLine {
    /// The time as the log gives it.
    at: String,
    /// The time in seconds since the Unix epoch.
    #[serde(skip)]
    seconds: f64,
    /// The host or the file that the line comes from.
    source: String,
    event: String,
    fields: BTreeMap<String, String>,
}

/// Prints the lines of the logs in `files` that explain the request `id`; `-` is standard input.
pub(crate) fn explain(id: &str, files: &[std::path::PathBuf], out: &Output) -> Result<(), Failure> {
    let mut lines = Vec::new();
    for file in files {
        lines.extend(read_log(file)?);
    }
    let related = related_lines(id, lines);
    if related.is_empty() {
        return Err(Failure::Usage(format!(
            "no line of these logs names request `{id}`; give the logs of all hosts that may have \
             handled it"
        )));
    }
    out.print_explanation(&related);
    Ok(())
}

fn read_log(file: &Path) -> Result<Vec<LogLine>, Failure> {
    let source = file.file_stem().unwrap_or_default().to_string_lossy().into_owned();
    let input: Box<dyn BufRead> = if file.as_os_str() == "-" {
        Box::new(BufReader::new(std::io::stdin()))
    } else {
        let opened = std::fs::File::open(file);
        Box::new(BufReader::new(
            opened.with_context(|| format!("can't read log `{}`", file.display()))?,
        ))
    };
    let mut lines = Vec::new();
    for line in input.lines() {
        let line = line.with_context(|| format!("can't read log `{}`", file.display()))?;
        lines.extend(parse_line(&source, &line));
    }
    Ok(lines)
}

/// Returns the lines that name the request, and the events of its upstreams and of the whole site
/// that its hosts logged from [`CONTEXT_BEFORE_S`] before the first of these lines until the last.
/// All are in order of time.
fn related_lines(id: &str, lines: Vec<LogLine>) -> Vec<LogLine> {
    let is_own = |line: &&LogLine| line.fields.get("request").is_some_and(|other| other == id);
    let own: Vec<LogLine> = lines.iter().filter(is_own).cloned().collect();
    let Some(last) = own.iter().map(|line| line.seconds).max_by(f64::total_cmp) else {
        return Vec::new();
    };
    let first = own.iter().map(|line| line.seconds).fold(last, f64::min);
    let upstreams: Vec<&String> =
        own.iter().filter_map(|line| line.fields.get("upstream")).collect();
    let hosts: Vec<&String> = own.iter().map(|line| &line.source).collect();
    let is_context = |line: &&LogLine| {
        let of_upstream = UPSTREAM_EVENTS.contains(&line.event.as_str())
            && line.fields.get("upstream").is_some_and(|up| upstreams.contains(&up));
        let of_site = SITE_EVENTS.contains(&line.event.as_str());
        let is_recent = (first - CONTEXT_BEFORE_S..=last).contains(&line.seconds);
        hosts.contains(&&line.source) && is_recent && (of_upstream || of_site) && !is_own(line)
    };
    let mut related: Vec<LogLine> = lines.iter().filter(is_context).cloned().collect();
    related.extend(own.iter().cloned());
    related.sort_by(|a, b| a.seconds.total_cmp(&b.seconds));
    related
}

/// Parses a line of `key=value` pairs; returns `None` if it has no valid time or no event. The last
/// word before `ts=`, a prefix that log collectors add, replaces `source` if there is one.
fn parse_line(source: &str, line: &str) -> Option<LogLine> {
    let (prefix, rest) = line.split_at(line.find("ts=")?);
    let mut fields = BTreeMap::new();
    let mut rest = rest.trim();
    while let Some((key, after)) = rest.split_once('=') {
        let (value, next) = match after.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => after.split_once(' ').unwrap_or((after, "")),
        };
        fields.insert(key.trim().to_owned(), value.to_owned());
        rest = next.trim_start();
    }
    let at = fields.remove("ts")?;
    let event = fields.remove("event")?;
    let seconds = humantime::parse_rfc3339_weak(&at).ok()?;
    let seconds = seconds.duration_since(std::time::UNIX_EPOCH).ok()?.as_secs_f64();
    let source = prefix.split_whitespace().last().unwrap_or(source).to_owned();
    fields.remove("level");
    fields.remove("target");
    Some(LogLine { at, seconds, source, event, fields })
}

impl LogLine {
    /// Formats the line as a sentence.
    pub(crate) fn describe(&self) -> String {
        let field = |name: &str| self.fields.get(name).map_or("?", String::as_str);
        let description = match self.event.as_str() {
            "placed" => format!(
                "placed on {} of {}: expected in {} ms, of which {} ms wait; load {}, reported {} \
                 ms ago; chance in time {}, utility {}; {} candidates; configuration {}",
                field("upstream"),
                field("service"),
                field("expected_ms"),
                field("wait_ms"),
                field("load"),
                field("report_age_ms"),
                field("in_time"),
                field("utility"),
                field("candidates"),
                field("version"),
            ),
            "attempt" => {
                format!("{} {} after {} ms", field("upstream"), field("outcome"), field("took_ms"))
            }
            "request" if self.fields.contains_key("upstream") => format!(
                "refused: {} with status {}, to come back after {} ms; the best of {} was {}, expected \
                 in {} ms, of which {} ms wait; load {}, reported {} ms ago; utility {}; \
                 configuration {}",
                field("outcome"),
                field("status"),
                field("retry_after_ms"),
                field("service"),
                field("upstream"),
                field("expected_ms"),
                field("wait_ms"),
                field("load"),
                field("report_age_ms"),
                field("utility"),
                field("version"),
            ),
            "request" => format!(
                "ended: {} with status {} after {} ms and {} offers; configuration {}",
                field("outcome"),
                field("status"),
                field("took_ms"),
                field("offers"),
                field("version"),
            ),
            event => {
                let pairs = self.fields.iter().map(|(key, value)| format!("{key}={value}"));
                format!("{event} {}", pairs.collect::<Vec<_>>().join(" "))
            }
        };
        format!("{} {} {description}", self.at, self.source)
    }
}
