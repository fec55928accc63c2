//! Upstreams that stop in the middle of the head of an answer and close the connection.

mod common;

use common::cut_site::CutSite;
use common::{Cut, TestSite, exchange, request};
use foxtail_standin::caller::Answer;
use foxtail_standin::upstream::Behavior;

/// The lines that frame the body of an answer: by its length, in chunks, and by the end of the connection.
const FRAMINGS: [&str; 4] =
    ["content-length: 5\r\n", "content-length: 0\r\n", "transfer-encoding: chunked\r\n", ""];

/// Returns the head of an answer to the request `id`.
fn head(id: &str, framing: &str) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nfoxtailrouter-request-id: {id}\r\n{framing}\
         foxtailrouter-server-seal: 3e1b.07\r\n\r\n"
    );
    head.into_bytes()
}

fn assert_failed(got: &Answer, what: &str) {
    assert_eq!(got.status, 502, "{what}: {}", got.body);
}

#[tokio::test]
async fn answer_whose_head_breaks_off_anywhere_does_not_look_complete() {
    let site = TestSite::new();
    site.configure(7);
    let up = site.upstream("up-1", "a1").await;
    let endpoint = site.store_endpoint().await;
    let host = site.ready_host("h-1", "a1", &endpoint).await;
    for (index, framing) in FRAMINGS.iter().enumerate() {
        for cut in 0..head("r", framing).len() {
            let id = format!("r-{index}-{cut}");
            let head = head(&id, framing);
            let sent = head[..cut.min(head.len() - 1)].to_vec();
            up.queue_behaviors([Behavior::SendAndClose(sent)]);
            let text = request("POST", &format!("/write/{id}/"), &id, 1_500, "");
            assert_failed(&exchange(host.settings().caller, &text).await, &id);
        }
    }
    host.stop().await;
}

#[tokio::test]
async fn answer_whose_head_breaks_off_behind_another_host_does_not_look_complete() {
    let site = CutSite::start(&["a1", "a2"]).await;
    site.cut_off(0, Cut::Reset).await;
    for (index, framing) in FRAMINGS.iter().enumerate() {
        for cut in (0..head("r", framing).len()).step_by(7) {
            let id = format!("r-{index}-{cut}");
            let sent = head(&id, framing)[..cut].to_vec();
            site.ups.iter().for_each(|up| up.set_behavior(Behavior::SendAndClose(sent.clone())));
            let text = request("POST", &format!("/write/{id}/"), &id, 1_500, "");
            assert_failed(&exchange(site.hosts[0].settings().caller, &text).await, &id);
        }
    }
    site.stop().await;
}
