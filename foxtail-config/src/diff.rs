//! Compares two serializable values field by field.

use std::fmt;

use foxtail_types::prelude::*;
use serde::Serialize;
use serde_json::Value;

/// A field whose value differs between the two inputs.
#[value]
pub struct Difference {
    /// The path of the field, with `.` between its parts.
    pub field: String,
    /// The old value as JSON; `None` if the field was absent.
    pub before: Option<String>,
    /// The new value as JSON; `None` if the field is absent.
    pub after: Option<String>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = |value: &Option<String>| value.clone().unwrap_or_else(|| "nothing".to_owned());
        write!(f, "{}: {} -> {}", self.field, text(&self.before), text(&self.after))
    }
}

/// Returns the fields in which `before` and `after` differ, sorted by path.
pub fn diff<T: Serialize>(before: Option<&T>, after: Option<&T>) -> Vec<Difference> {
    let mut differences = Vec::new();
    collect_differences("", to_json(before).as_ref(), to_json(after).as_ref(), &mut differences);
    differences
}

fn to_json<T: Serialize>(value: Option<&T>) -> Option<Value> {
    value.map(|value| {
        serde_json::to_value(value).expect("templates and parameters serialize to JSON")
    })
}

fn collect_differences(
    path: &str,
    before: Option<&Value>,
    after: Option<&Value>,
    differences: &mut Vec<Difference>,
) {
    if before == after {
        return;
    }
    let (old, new) = (before.and_then(Value::as_object), after.and_then(Value::as_object));
    // Objects are compared key by key, also with an absent value, so that each field is listed.
    let absent = before.is_none() || after.is_none();
    if (old.is_some() && new.is_some()) || (absent && (old.is_some() || new.is_some())) {
        let mut keys: Vec<&String> =
            old.into_iter().chain(new).flat_map(|map| map.keys()).collect();
        keys.sort();
        keys.dedup();
        for key in keys {
            let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
            let get = |map: Option<&serde_json::Map<String, Value>>| map?.get(key).cloned();
            collect_differences(&path, get(old).as_ref(), get(new).as_ref(), differences);
        }
        return;
    }
    let text = |value: Option<&Value>| value.map(Value::to_string);
    differences.push(Difference {
        field: path.to_owned(),
        before: text(before),
        after: text(after),
    });
}
