//! The stand-in platform over HTTP: outcomes of commits under each fault.

use std::sync::Arc;

use foxtail_net::TcpDial;
use foxtail_platform::http::{Call, HttpHosts, HttpObjects, HttpTable};
use foxtail_platform::table::{Change, Error, Expect, Options, Outcome, Priority, Txn, Write};
use foxtail_platform::{HostList, Objects, Table};
use foxtail_standin::platform::{self, Down, Platform, Rates, Server};
use foxtail_types::prelude::*;

const SOON: Options = Options { priority: Priority::Claim, timeout: Millis(2_000) };
const AT_ONCE: Options = Options { priority: Priority::Claim, timeout: Millis(60) };

fn put(key: &str, expect: Expect) -> Txn {
    let change = Change::Put(b"v".to_vec());
    Txn { writes: vec![Write { key: key.to_owned(), expect, change }] }
}

async fn start(options: &platform::Options) -> (Server, Arc<Call>) {
    let server = Server::start(Platform::new(options)).await.unwrap();
    let dead = "127.0.0.1:1".parse().unwrap();
    let call = Call::new(Arc::new(TcpDial), vec![dead, server.addr()]);
    (server, call)
}

#[tokio::test]
async fn commit_conflict_read_scan_objects() {
    let (server, call) = start(&platform::Options::default()).await;
    let table = HttpTable::new(Arc::clone(&call));
    let first = table.commit(&put("a/1", Expect::Absent), SOON).await;
    let Outcome::Committed(versions) = first else { panic!("{first:?}") };
    let second = table.commit(&put("a/1", Expect::Absent), SOON).await;
    let Outcome::Conflict { at: 0, found: Some(row) } = second else { panic!("{second:?}") };
    assert_eq!((row.version, row.value.as_slice()), (versions[0], b"v".as_slice()));
    assert!(matches!(
        table.commit(&put("a/1", Expect::At(row.version)), SOON).await,
        Outcome::Committed(_)
    ));
    let read = table.read(&["a/1".to_owned(), "b".to_owned()], SOON).await.unwrap();
    assert!(read[0].is_some() && read[1].is_none());
    table.commit(&put("a/2", Expect::Any), SOON).await;
    let scan = table.scan("a/", "a/1", 10, SOON).await.unwrap();
    assert_eq!(scan.len(), 1);
    let objects = HttpObjects::new(Arc::clone(&call));
    assert_eq!(objects.get("x", Millis(500)).await, Ok(None));
    objects.put("x", vec![7; 100_000], Millis(500)).await.unwrap();
    assert_eq!(objects.get("x", Millis(500)).await, Ok(Some(vec![7; 100_000])));
    assert_eq!(HttpHosts::new(call).list(Millis(500)).await, Ok(Vec::new()));
    server.stop().await;
}

#[tokio::test]
async fn faults_give_exact_outcomes() {
    let (server, call) = start(&platform::Options::default()).await;
    let platform = Arc::clone(server.platform());
    let table = HttpTable::new(call);
    platform.fault(|f| f.down = Some(Down::Refuse));
    let down = table.commit(&put("k", Expect::Absent), SOON).await;
    assert!(matches!(down, Outcome::Failed(Error::Unavailable(_))), "{down:?}");
    platform.fault(|f| {
        f.down = None;
        f.lose_next_replies = 1;
    });
    let lost = table.commit(&put("k", Expect::Absent), SOON).await;
    assert!(matches!(lost, Outcome::Ambiguous(_)), "{lost:?}");
    assert!(table.read(&["k".to_owned()], SOON).await.unwrap()[0].is_some());
    platform.fault(|f| f.down = Some(Down::Hang));
    let hung = table.commit(&put("late", Expect::Absent), AT_ONCE).await;
    assert_eq!(hung, Outcome::Ambiguous(Error::TimedOut));
    assert!(platform.rows("late").is_empty());
    platform.stop().await;
    assert_eq!(platform.rows("late").len(), 1, "a hung commit takes effect afterwards");
    server.stop().await;
    let gone = table.commit(&put("g", Expect::Absent), SOON).await;
    assert!(matches!(gone, Outcome::Failed(_) | Outcome::Ambiguous(_)), "{gone:?}");
}

#[tokio::test]
async fn rates_refuse_what_is_above() {
    let rates = Rates { writes_per_s: 8, reads_per_s: 2_000, by_rows: false };
    let (server, call) = start(&platform::Options { rates: Some(rates), seed: 1 }).await;
    let table = HttpTable::new(call);
    let mut refused = 0;
    for i in 0..10 {
        let done = table.commit(&put(&format!("k{i}"), Expect::Absent), SOON).await;
        refused += usize::from(done == Outcome::Failed(Error::Throttled));
    }
    assert!(refused >= 5, "{refused} of 10 refused");
    assert_eq!(server.platform().counts().throttled, refused as u64);
    server.stop().await;
}
