//! Bad input is refused with the parameter's name, the bound and what would be accepted.

use std::path::PathBuf;

use foxtail_config::{NetworkParams, Params, Template, compile};
use serde_json::Value;

fn shipped(name: &str) -> Value {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../templates").join(name);
    serde_json::from_str(&std::fs::read_to_string(path).unwrap()).unwrap()
}

fn compile(template: Value, params: Value, network: Value) -> Result<String, String> {
    let text = |e: serde_json::Error| e.to_string();
    let template: Template = serde_json::from_value(template).map_err(text)?;
    let params: Params = serde_json::from_value(params).map_err(text)?;
    let network: NetworkParams = serde_json::from_value(network).map_err(text)?;
    let network = compile::network(&network).map_err(|e| e.to_string())?;
    let workspace = compile::workspace(&template, &params, &network).map_err(|e| e.to_string())?;
    let servers: usize = workspace.services.iter().map(|s| s.upstreams.len()).sum();
    let slots: u32 = workspace.services.iter().flat_map(|s| &s.upstreams).map(|u| u.slots).sum();
    Ok(format!("{} services, {servers} servers, {slots} slots", workspace.services.len()))
}

/// Each line of input is `FILE /json/pointer/to/object KEY VALUE`: one change to a shipped file.
fn run(case: &datadriven::TestCase) -> String {
    let mut files = ["template", "params", "network"]
        .map(|kind| (kind, shipped(&format!("{}.{kind}.json", case.directive))));
    for line in case.input.lines() {
        let parts: Vec<_> = line.splitn(4, ' ').collect();
        let [file, pointer, key, value] = parts[..] else { panic!("bad line `{line}`") };
        let root = files.iter_mut().find(|(kind, _)| *kind == file).unwrap();
        let pointer = pointer.trim_end_matches('/');
        let object = root.1.pointer_mut(pointer).unwrap().as_object_mut().unwrap();
        object.insert(key.to_owned(), serde_json::from_str(value).unwrap());
    }
    let [(_, template), (_, params), (_, network)] = files;
    match compile(template, params, network) {
        Ok(text) => format!("{text}\n"),
        Err(text) => format!("error: {text}\n"),
    }
}

#[test]
fn input_table() {
    datadriven::walk("tests/input", |f| f.run(|case| run(case)));
}
