//! Runs `foxtailctl` against a stand-in of the platform's store that hosts read from.

mod common;

use common::{TestSite, json, run_foxtailctl, text};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn workspace_is_created_changed_and_rolled_back_and_stale_input_is_refused() {
    let site = TestSite::start().await;
    let files = site.shipped_files();
    let made =
        site.ctl(&["workspace", "create", "--template", &files[0], "--params", &files[1]]).await;
    assert!(made.status.success(), "{}", text(&made));
    assert!(text(&made).contains("version 1 (workspace version 1) is in force on all 2 hosts"));
    let again =
        site.ctl(&["workspace", "create", "--template", &files[0], "--params", &files[1]]).await;
    assert_eq!(again.status.code(), Some(4), "it exists: {}", text(&again));

    let mut input = json(&site.ctl(&["workspace", "show", "tali-selamat"]).await);
    input["params"]["services"]["bookings"]["limits"] = serde_json::json!({"service_ms": 90});
    let file = site.write_file("ws.json", &input.to_string());
    let plan = site.ctl(&["workspace", "plan", &file]).await;
    assert!(plan.status.success(), "{}", text(&plan));
    assert!(text(&plan).contains("services.bookings.limits.service_ms: nothing -> 90"));
    let applied = site.ctl(&["workspace", "apply", &file, "--note", "slower seats"]).await;
    assert!(text(&applied).contains("version 2 (workspace version 2)"), "{}", text(&applied));
    let stale = site.ctl(&["workspace", "apply", &file]).await;
    assert_eq!(stale.status.code(), Some(4), "made from version 1: {}", text(&stale));

    let history = text(&site.ctl(&["workspace", "history", "tali-selamat"]).await);
    assert!(history.lines().next().unwrap().contains("slower seats"), "{history}");
    let back = site.ctl(&["workspace", "rollback", "tali-selamat", "--to", "1"]).await;
    assert!(text(&back).contains("version 3 (workspace version 3)"), "{}", text(&back));
    let input = json(&site.ctl(&["workspace", "show", "tali-selamat"]).await);
    assert!(input["params"]["services"]["bookings"]["limits"].is_null());
    site.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn drain_is_planned_started_and_stopped_and_the_last_zone_is_refused() {
    let site = TestSite::start().await;
    site.create_workspace().await;
    let plan = site.ctl(&["drain", "plan", "sabah-a"]).await;
    assert!(plan.status.success(), "{}", text(&plan));
    let started = site.ctl(&["drain", "start", "sabah-a"]).await;
    assert!(
        text(&started).contains("zone sabah-a is drained on all 2 hosts"),
        "{}",
        text(&started)
    );
    assert!(text(&site.ctl(&["drain", "status"]).await).contains("zone sabah-a"));
    let status = json(&site.ctl(&["--json", "status"]).await);
    assert_eq!(status["hosts"][0]["evacuated"][0], "sabah-a");
    // The drain of the only other zone would leave no zone in use.
    let refused = site.ctl(&["drain", "start", "sabah-b"]).await;
    assert_eq!(refused.status.code(), Some(3), "{}", text(&refused));
    let stopped = site.ctl(&["drain", "stop", "sabah-a"]).await;
    assert!(text(&stopped).contains("back in use on all 2 hosts"), "{}", text(&stopped));
    let none = site.ctl(&["drain", "stop", "sabah-a"]).await;
    assert_eq!(none.status.code(), Some(3));
    site.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn invalid_input_is_refused_and_the_store_is_unchanged() {
    let site = TestSite::start().await;
    let files = site.shipped_files();
    let mut params: serde_json::Value =
        serde_json::from_str(&std::fs::read_to_string(&files[1]).unwrap()).unwrap();
    params["services"]["bookings"]["limits"] = serde_json::json!({"service_ms": 0});
    let bad = site.write_file("bad.json", &params.to_string());
    let refused =
        site.ctl(&["workspace", "create", "--template", &files[0], "--params", &bad]).await;
    assert_eq!(refused.status.code(), Some(3));
    assert!(text(&refused).contains("services.bookings.limits.service_ms: 0 is outside 1 to"));
    assert_eq!(site.store.value("op", "config"), None);
    let unknown = site.ctl(&["workspace", "show", "nobody"]).await;
    assert_eq!(unknown.status.code(), Some(3));
    site.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn dead_host_and_unreachable_store_are_reported_with_their_exit_codes() {
    let mut site = TestSite::start().await;
    site.create_workspace().await;
    let dead = site.stop_host().await;
    // A stopped host removes its registration. Restoring it simulates a crash.
    site.store.put("hosts", dead.id.as_str(), &serde_json::to_vec(&dead).unwrap());
    let status = text(&site.ctl(&["status"]).await);
    assert!(status.contains(&format!("{}  {}  SILENT", dead.id, dead.zone)), "{status}");
    let late = site.ctl(&["drain", "start", "sabah-a", "--wait", "0"]).await;
    assert_eq!(late.status.code(), Some(5), "{}", text(&late));
    assert!(text(&late).contains(dead.id.as_str()));
    let gone = run_foxtailctl(&["--store", "127.0.0.1:1", "status"]).await;
    assert_eq!(gone.status.code(), Some(6), "{}", text(&gone));
    site.stop().await;
}

#[tokio::test]
async fn configuration_file_is_checked_without_a_store() {
    let dir = common::temp_dir("check");
    let file = |name: &str, text: &str| {
        let path = dir.join(name);
        std::fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    };
    let good = foxtail_standin::store::config(3, "books", 2.0);
    let checked = run_foxtailctl(&["check", &file("good.json", &good)]).await;
    assert!(text(&checked).contains("version 3: 2 routes to 2 services"), "{}", text(&checked));
    let bad = good.replacen("idempotent", "sometimes", 1);
    let checked = run_foxtailctl(&["check", &file("bad.json", &bad)]).await;
    assert_eq!(checked.status.code(), Some(2));
    assert!(text(&checked).contains("kind `sometimes` is unknown"), "{}", text(&checked));
    std::fs::remove_dir_all(dir).unwrap();
}
