//! Stand-ins and drills for the cases of `review/REPORT-2.md`. Usage: `drill CASE DIR`, from the root of
//! the repository. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod client;
mod cold;
mod deadly;
mod host;
mod http;
mod json;
mod limit;
mod record;
mod server;
mod spoil;
mod store;

use std::path::PathBuf;
use std::process::exit;
use std::sync::Arc;

use record::Record;

/// How a drill ended.
pub enum Verdict {
    Held,
    Broken,
    /// It couldn't run, for this reason.
    NotRun(String),
}

/// What a drill is given.
pub struct Setup {
    /// Whether the disruption takes place.
    pub trouble: bool,
    pub record: Arc<Record>,
    /// A temporary folder.
    pub dir: PathBuf,
}

/// Returns a desired state with an idempotent and a non-idempotent route to one service.
pub fn desired_state(version: u64) -> String {
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            concat!(
                r#"{{"name":"{}","host":"svc.example","prefix":"/{}/","kind":"{}","timeout_s":3,"#,
                r#""latency_goal_s":0.5,"priority":1,"service":"books","max_attempts":{},"#,
                r#""session_affinity":true,"home_regions":[]}}"#
            ),
            name, name, kind, attempts
        )
    };
    format!(
        concat!(
            r#"{{"version":{},"routes":[{},{}],"services":[{{"name":"books","health_path":"/health","#,
            r#""max_connections":660,"protocol":"h1","tls":false,"cold_start_s":3,"cold_per_s":11}}],"#,
            r#""limits":{{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_s":3,"#,
            r#""idle_timeout_s":15}},"base_version":1}}"#
        ),
        version,
        route("read", "idempotent", 2),
        route("write", "non_idempotent", 2),
    )
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(out)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: drill CASE DIR");
        exit(2);
    };
    let dir = std::env::temp_dir().join(format!("drill-{case}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a temporary folder");
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&PathBuf::from(out).join("record.txt"));
    let setup = Setup { trouble, record: Arc::clone(&record), dir: dir.clone() };
    let verdict = match case.as_str() {
        "deadly" => deadly::run(&setup),
        "cold" => cold::run(&setup),
        "spoil" => spoil::run(&setup),
        "limit" => limit::run(&setup),
        other => Verdict::NotRun(format!("no case `{other}`")),
    };
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(&dir);
    }
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("the rule was broken".to_owned(), 1),
        Verdict::NotRun(why) => (format!("the case couldn't run: {why}"), 2),
    };
    record.line(&text);
    println!("{case}: {text}");
    exit(code);
}
