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
