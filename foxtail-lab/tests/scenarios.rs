//! Runs the scripts in `scenarios/`. `REWRITE=1` writes what they print back into them.

use foxtail_lab::scenario::{Args, Scenario};

#[test]
fn scripts() {
    datadriven::walk("tests/scenarios", |file| {
        let mut scenario = Scenario::default();
        file.run(|case| {
            let value = |values: &Vec<String>| values.join(" ");
            let args: Args = case.args.iter().map(|(k, v)| (k.clone(), value(v))).collect();
            match scenario.command(&case.directive, &args) {
                Ok(out) => out,
                Err(e) => format!("error: {e}\n"),
            }
        });
    });
}

/// The script `link_archive.txt` with the order of the live limiter. The link has room for all
/// interactive requests (2 of 5 MB/s) and the shift cap for all requests (200 of 400 a second).
#[test]
fn archive_that_finds_no_room_leaves_shift_to_interactive() {
    let mut scenario = Scenario::default();
    let mut run = |line: &str| {
        let mut words = line.split(' ');
        let name = words.next().unwrap_or_default();
        let args = words.filter_map(|word| word.split_once('='));
        let args: Args = args.map(|(k, v)| (k.to_owned(), v.to_owned())).collect();
        scenario.command(name, &args).expect(line)
    };
    run("world upstreams=8 slots=3 service=20ms mbit=40 archive=4 shift=400");
    run("load from=peninsula rate=100 answer=20KB");
    run("load from=peninsula rate=100 class=archive answer=200KB deadline=10s");
    run("drain region=peninsula");
    let out = run("run for=30s");
    let away = out.lines().find(|line| line.contains("interactive")).and_then(|line| {
        line.split(' ').find_map(|word| word.strip_prefix("away=")).and_then(|n| n.parse().ok())
    });
    assert!(away >= Some(2_850_u32), "fewer than 95% of 3,000 interactive requests: {out}");
}
