//! Settings that are out of their bounds.

use foxtail_entry::Settings;

/// Returns settings with `fields` in place of the same ones of valid settings.
fn settings(fields: serde_json::Value) -> String {
    let mut settings = serde_json::json!({
        "host": "h-1", "region": "a", "zone": "a1", "zones": {"a1": "a"},
        "caller": "127.0.0.1:1", "lookup": "127.0.0.1:2", "health": "127.0.0.1:3",
        "peer": "127.0.0.1:4", "metrics": null, "store": "127.0.0.1:5",
        "stop_s": 6, "lookup_ttl_s": 1, "shift_cap": 0.15,
        "retry": {"ratio": 0.2, "slack": 112, "window_s": 10},
    });
    for (name, value) in fields.as_object().unwrap() {
        settings[name] = value.clone();
    }
    settings.to_string()
}

#[test]
fn memory_of_the_platform_is_taken_and_the_smallest_hosts_memory_without_it() {
    let memory = |fields| Settings::parse(&settings(fields)).unwrap().memory_bytes();
    assert_eq!(memory(serde_json::json!({"memory_mb": 182})), 182_000_000);
    assert_eq!(memory(serde_json::json!({"memory_mb": 512.5})), 512_500_000);
    assert_eq!(memory(serde_json::json!({})), 112_000_000);
}

#[test]
fn memory_that_is_too_small_is_an_error_that_names_the_setting() {
    for memory in ["0", "-1", "63.9", "1e12", "null", "\"182\""] {
        let memory_mb: serde_json::Value = serde_json::from_str(memory).unwrap();
        let text = settings(serde_json::json!({ "memory_mb": memory_mb }));
        let error = format!("{:#}", Settings::parse(&text).unwrap_err());
        let names_setting = error.contains("memory_mb") || error.contains("invalid type");
        assert!(names_setting, "{memory}: {error}");
    }
}
