//! A configuration of hosts as an operator writes it.

/// Returns a configuration with the given `version` and two routes of `svc.example`, as JSON.
///
/// Requests to `/read/` are idempotent, requests to `/write/` are not. Both routes go to `service`,
/// which is `books` or `seats`, with a timeout of `timeout_s` seconds.
pub fn config(version: u64, service: &str, timeout_s: f64) -> String {
    let route = |name: &str, kind: &str| {
        format!(
            r#"{{"name":"{name}","host":"svc.example","prefix":"/{name}/","kind":"{kind}",
            "timeout_s":{timeout_s},"latency_goal_s":0.3,"priority":1,"service":"{service}",
            "max_attempts":2,"session_affinity":true,"home_regions":[]}}"#
        )
    };
    let service = |name: &str| {
        format!(
            r#"{{"name":"{name}","health_path":"/health","max_connections":660,
            "protocol":"h1","tls":false,"cold_start_s":0.5,"cold_per_s":20.0}}"#
        )
    };
    format!(
        r#"{{"version":{version},"routes":[{},{}],"services":[{},{}],"limits":{{
        "max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_s":3,
        "idle_timeout_s":15}},"base_version":1}}"#,
        route("read", "idempotent"),
        route("write", "non_idempotent"),
        service("books"),
        service("seats"),
    )
}
