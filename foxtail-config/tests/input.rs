//! Invalid input is refused with the path of the parameter, the bound and the accepted values.

mod common;

use foxtail_config::compile;

/// Compiles a shipped template and its parameters after the changes of a case. Each input line is
/// one change, `FILE /json/pointer/to/object KEY VALUE`.
fn run_case(case: &datadriven::TestCase) -> String {
    let mut files =
        ["template", "params"].map(|kind| (kind, common::shipped_file(&case.directive, kind)));
    for line in case.input.lines() {
        let parts: Vec<_> = line.splitn(4, ' ').collect();
        let [file, pointer, key, value] = parts[..] else { panic!("bad line `{line}`") };
        let root = files.iter_mut().find(|(kind, _)| *kind == file).unwrap();
        let pointer = pointer.trim_end_matches('/');
        let object = root.1.pointer_mut(pointer).unwrap().as_object_mut().unwrap();
        object.insert(key.to_owned(), serde_json::from_str(value).unwrap());
    }
    let [(_, template), (_, params)] = files;
    match compile_json(template, params) {
        Ok(text) => format!("{text}\n"),
        Err(text) => format!("error: {text}\n"),
    }
}

fn compile_json(template: serde_json::Value, params: serde_json::Value) -> Result<String, String> {
    let text = |e: serde_json::Error| e.to_string();
    let template = serde_json::from_value(template).map_err(text)?;
    let params = serde_json::from_value(params).map_err(text)?;
    let compiled = compile(&template, &params, &common::site_without_upstreams())
        .map_err(|e| e.to_string())?;
    let names: Vec<&str> = compiled.routes.iter().map(|route| route.name.as_str()).collect();
    Ok(format!("{} services, routes {}", compiled.services.len(), names.join(" ")))
}

#[test]
fn each_input_case_gives_its_expected_result() {
    datadriven::walk("tests/input", |f| f.run(|case| run_case(case)));
}
