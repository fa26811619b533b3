//! Comparison of observed values with the committed fixtures.
use serde_json::{Map, Value, json};
use std::path::{Path, PathBuf};

/// Returns whether observed values replace the committed fixtures, as `UPDATE_FIXTURES` requests.
pub fn is_updating_fixtures() -> bool {
    std::env::var_os("UPDATE_FIXTURES").is_some()
}

/// Returns the path of a committed fixture.
pub fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/compatibility/fixtures").join(name)
}

/// Asserts that `observed` equals the committed fixture `name`, or replaces it while fixtures are updated.
pub fn assert_matches_fixture(name: &str, observed: &str) {
    let path = fixture(name);
    if is_updating_fixtures() {
        std::fs::create_dir_all(path.parent().unwrap()).unwrap();
        std::fs::write(&path, observed).unwrap();
    }
    let committed = std::fs::read_to_string(&path).unwrap_or_default();
    for (number, (observed_line, committed_line)) in observed.lines().zip(committed.lines()).enumerate() {
        assert_eq!(
            observed_line,
            committed_line,
            "{name}:{}: the observed line differs from the fixture",
            number + 1
        );
    }
    assert_eq!(observed, committed, "{name}: the observed text differs from the fixture");
}

/// Copies the regular files of a folder, without subfolders and sockets.
pub fn copy_files(from: &Path, to: &Path) {
    assert!(from.is_dir(), "{} is not a folder", from.display());
    std::fs::create_dir_all(to).unwrap();
    for entry in std::fs::read_dir(from).unwrap().map(Result::unwrap) {
        if entry.file_type().unwrap().is_file() {
            std::fs::copy(entry.path(), to.join(entry.file_name())).unwrap();
        }
    }
}

/// Replaces the values of `keys`, at any depth, by a mask that names their type.
pub fn mask(value: &Value, keys: &[&str]) -> Value {
    let masked = |(key, inner): (&String, &Value)| {
        let result = if keys.contains(&key.as_str()) { type_mask(inner) } else { mask(inner, keys) };
        (key.clone(), result)
    };
    match value {
        Value::Object(fields) => Value::Object(fields.iter().map(masked).collect::<Map<_, _>>()),
        Value::Array(items) => items.iter().map(|item| mask(item, keys)).collect(),
        other => other.clone(),
    }
}

fn type_mask(value: &Value) -> Value {
    match value {
        Value::Null => json!("<null>"),
        Value::Bool(_) => json!("<bool>"),
        Value::Number(_) => json!("<number>"),
        Value::String(_) => json!("<string>"),
        Value::Array(_) => json!("<array>"),
        Value::Object(fields) => fields.keys().map(|key| (key.clone(), json!("<masked>"))).collect(),
    }
}

/// Returns indented JSON with one field per line.
pub fn pretty(value: &Value) -> String {
    serde_json::to_string_pretty(value).unwrap() + "\n"
}
