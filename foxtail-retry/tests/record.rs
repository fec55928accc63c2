//! Records merge the same in any order, and what a host keeps of them is bounded.

mod support;

use foxtail_retry::crash::{Detector, Probe};
use foxtail_retry::record::{CONVICTED_TTL, Evidence, MarkId, Record, Standing};
use foxtail_retry::{Fingerprint, Suspects};
use foxtail_types::prelude::*;
use proptest::prelude::*;

fn fp(n: u64) -> Fingerprint {
    let mut bytes = [7; 16];
    bytes[..8].copy_from_slice(&n.to_le_bytes());
    Fingerprint(bytes)
}

fn records() -> impl Strategy<Value = Record> {
    let change = (0u8..4, 0u64..5, 0u64..1_000);
    prop::collection::vec(change, 0..6).prop_map(|changes| {
        let mut record = Record::default();
        for (what, mark, wall) in changes {
            match what {
                0 => record.clear(Millis(wall)),
                1 => record.mark(MarkId(mark), Evidence::Break, Millis(wall)),
                _ => record.mark(MarkId(mark), Evidence::Crash, Millis(wall)),
            }
        }
        record
    })
}

fn merged(records: &[&Record]) -> Record {
    let mut out = Record::default();
    for record in records {
        out.merge(record);
    }
    out
}

#[test]
fn merging_is_commutative_associative_and_idempotent() {
    support::runner(5_000)
        .run(&(records(), records(), records()), |(a, b, c)| {
            prop_assert_eq!(merged(&[&a, &b]), merged(&[&b, &a]));
            let left = merged(&[&merged(&[&a, &b]), &c]);
            prop_assert_eq!(&left, &merged(&[&a, &merged(&[&b, &c])]));
            let mut again = left.clone();
            prop_assert!(!again.merge(&a) && !again.merge(&left));
            Ok(())
        })
        .unwrap();
}

#[test]
fn a_conviction_holds_and_then_expires() {
    let suspects = Suspects::default();
    let wall = Millis::secs(1_000);
    suspects.mark(fp(1), MarkId::OUTSIDE_TRIAL, Evidence::Crash, wall);
    suspects.mark(fp(1), MarkId::OUTSIDE_TRIAL, Evidence::Crash, wall);
    assert_eq!(suspects.standing(fp(1), wall), Standing::Suspect, "outside trials counts once");
    suspects.mark(fp(1), MarkId(1), Evidence::Crash, wall);
    suspects.clear(fp(1), wall);
    assert_eq!(suspects.standing(fp(1), wall + CONVICTED_TTL - Millis(1)), Standing::Convicted);
    assert_eq!(suspects.standing(fp(1), wall + CONVICTED_TTL), Standing::Clear);
}

#[test]
fn a_flood_of_suspects_pushes_out_no_conviction() {
    let suspects = Suspects::default();
    let wall = Millis::secs(1_000);
    for mark in [MarkId::OUTSIDE_TRIAL, MarkId(1)] {
        suspects.mark(fp(0), mark, Evidence::Crash, wall);
    }
    for n in 1..20_000 {
        suspects.mark(fp(n), MarkId::OUTSIDE_TRIAL, Evidence::Break, wall + Millis(n));
    }
    assert!(suspects.len() <= 2_048, "{} records", suspects.len());
    assert_eq!(suspects.standing(fp(0), wall), Standing::Convicted);
}

#[test]
fn a_crash_is_told_from_a_lone_break_and_from_a_fault_of_the_network() {
    let id = |n| UpstreamId::new(&format!("upstream-{n}")).unwrap();
    let now = Millis::secs(100);
    let refused = Detector::default();
    refused.broke(&id(0), now);
    assert_eq!(refused.evidence(&id(0), Probe::Refused, false, now), Evidence::Crash);
    let lone = Detector::default();
    lone.broke(&id(0), now - Millis::secs(2));
    lone.broke(&id(0), now);
    assert_eq!(lone.evidence(&id(0), Probe::Accepted, false, now), Evidence::Break);
    assert_eq!(lone.evidence(&id(0), Probe::TimedOut, false, now), Evidence::Break);
    lone.broke(&id(0), now + Millis(10));
    assert_eq!(lone.evidence(&id(0), Probe::Accepted, false, now + Millis(10)), Evidence::Crash);
    lone.broke(&id(1), now + Millis(20));
    lone.broke(&id(2), now + Millis(20));
    assert_eq!(lone.evidence(&id(0), Probe::Accepted, false, now + Millis(20)), Evidence::Break);
    assert_eq!(lone.evidence(&id(0), Probe::Accepted, true, now + Millis(20)), Evidence::Break);
    let trial = Detector::default();
    trial.broke(&id(0), now);
    assert_eq!(trial.evidence(&id(0), Probe::Accepted, true, now), Evidence::Crash);
}
