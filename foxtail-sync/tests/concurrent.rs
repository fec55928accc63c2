//! Operators at the same moment, at different hosts, while the store loses replies.

mod common;

use std::sync::Arc;

use common::Fleet;
use foxtail_sync::admin::{Accepted, Error, Input};
use foxtail_types::prelude::*;
use futures::future::join_all;

const HOSTS: usize = 6;
const LOSE_REPLIES_PER_MILLE: u32 = 400;

async fn configured() -> Arc<Fleet> {
    let fleet = Fleet::new(HOSTS, 1);
    (0..HOSTS).for_each(|i| fleet.start(&fleet.name(i)));
    let admin = fleet.admin(&fleet.name(0)).unwrap();
    admin.network_apply("aminah", &common::network(), Version(0)).await.unwrap();
    admin.workspace_apply("aminah", &common::input(), "").await.unwrap();
    fleet.pass(Millis::secs(2)).await;
    fleet.platform.fault(|faults| faults.lose_replies_per_mille = LOSE_REPLIES_PER_MILLE);
    fleet
}

async fn apply_all(fleet: &Fleet, inputs: &[Input]) -> Vec<Result<Accepted, Error>> {
    let apply = |(i, input)| {
        let admin = fleet.admin(&fleet.name(i)).unwrap();
        async move { admin.workspace_apply(&format!("operator-{i}"), input, "").await }
    };
    join_all(inputs.iter().enumerate().map(apply)).await
}

async fn end(fleet: &Fleet) {
    for i in 0..HOSTS {
        fleet.stop(&fleet.name(i)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn one_of_many_wins_and_the_others_are_told() {
    let fleet = configured().await;
    let input = Input { base: Version(1), ..common::input() };
    let inputs: Vec<_> = (0..HOSTS as u64)
        .map(|i| {
            let mut input = input.clone();
            input.params.shift_per_s = Some(200 + i);
            input
        })
        .collect();
    let results = apply_all(&fleet, &inputs).await;
    let won: Vec<_> = (0..HOSTS).filter(|i| results[*i].is_ok()).collect();
    assert_eq!(won.len(), 1, "{results:?}");
    let cap = (200 + won[0]).to_string();
    for lost in results.iter().filter_map(|result| result.as_ref().err()) {
        let Error::Conflict(conflict) = lost else { panic!("unexpected: {lost}") };
        assert_eq!(conflict.operator, format!("operator-{}", won[0]));
        assert_eq!(conflict.changed.len(), 1);
        assert_eq!(conflict.changed[0].field, "shift_per_s");
        assert_eq!(conflict.changed[0].after, Some(cap.clone()));
    }
    end(&fleet).await;
}

#[tokio::test(start_paused = true)]
async fn changes_of_different_workspaces_all_win() {
    let fleet = configured().await;
    let inputs: Vec<_> = (0..HOSTS)
        .map(|i| {
            let mut input = common::input();
            input.params.workspace = WorkspaceId::new(&format!("workspace-{i}")).unwrap();
            input.params.shift_per_s = Some(10);
            for service in input.params.services.values_mut() {
                service.expected_per_s.clear();
                let addrs = service.servers.values_mut().flatten();
                addrs.for_each(|addr| addr.set_port(9_000 + i as u16));
            }
            input
        })
        .collect();
    let results = apply_all(&fleet, &inputs).await;
    let mut versions: Vec<_> = results.iter().map(|r| r.as_ref().unwrap().version.0).collect();
    versions.sort_unstable();
    assert_eq!(
        versions,
        (3..3 + HOSTS as u64).collect::<Vec<_>>(),
        "each has a version of its own"
    );
    fleet.pass(Millis::secs(3)).await;
    for i in 0..HOSTS {
        assert_eq!(fleet.spread(&fleet.name(i)).unwrap().held(), Version(2 + HOSTS as u64));
    }
    end(&fleet).await;
}

#[tokio::test(start_paused = true)]
async fn a_server_can_be_in_one_workspace_only() {
    let fleet = configured().await;
    let mut input = common::input();
    input.params.workspace = WorkspaceId::new("second").unwrap();
    input.params.services.values_mut().for_each(|service| service.expected_per_s.clear());
    let results = apply_all(&fleet, std::slice::from_ref(&input)).await;
    let Err(Error::Refused(refused)) = &results[0] else { panic!("unexpected: {results:?}") };
    assert!(refused[0].reason.ends_with("is a server of workspace tali-selamat"), "{refused:?}");
    end(&fleet).await;
}
