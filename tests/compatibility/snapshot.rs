//! Committed text that observed text must equal, and the folders of fixtures.
use serde_json::{Map, Value, json};
use std::path::{Path, PathBuf};

/// Whether what is observed takes the place of the committed fixtures.
pub fn updates() -> bool {
    std::env::var_os("UPDATE_FIXTURES").is_some()
}

/// A committed fixture.
pub fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/compatibility/fixtures").join(name)
}

/// Compares with the committed file of that name.
pub fn assert_same(name: &str, observed: &str) {
    let path = fixture(name);
    if updates() {
        std::fs::create_dir_all(path.parent().unwrap()).unwrap();
        std::fs::write(&path, observed).unwrap();
    }
    let committed = std::fs::read_to_string(&path).unwrap_or_default();
    for (number, (now, before)) in observed.lines().zip(committed.lines()).enumerate() {
        assert_eq!(now, before, "{name}:{}: what is observed is not what was committed", number + 1);
    }
    assert_eq!(observed, committed, "{name}: what is observed is not what was committed");
}

/// Copies the files of a folder, without its subfolders and sockets.
pub fn copy_files(from: &Path, to: &Path) {
    assert!(from.is_dir(), "{} is not there", from.display());
    std::fs::create_dir_all(to).unwrap();
    for entry in std::fs::read_dir(from).unwrap().map(Result::unwrap) {
        if entry.file_type().unwrap().is_file() {
            std::fs::copy(entry.path(), to.join(entry.file_name())).unwrap();
        }
    }
}

/// Puts a mask in place of the values at those keys, wherever they stand; the mask tells the type.
pub fn mask(value: &Value, keys: &[&str]) -> Value {
    let masked = |(key, held): (&String, &Value)| {
        let shown = if keys.contains(&key.as_str()) { masked_type(held) } else { mask(held, keys) };
        (key.clone(), shown)
    };
    match value {
        Value::Object(fields) => Value::Object(fields.iter().map(masked).collect::<Map<_, _>>()),
        Value::Array(items) => items.iter().map(|item| mask(item, keys)).collect(),
        other => other.clone(),
    }
}

fn masked_type(value: &Value) -> Value {
    match value {
        Value::Null => json!("<null>"),
        Value::Bool(_) => json!("<bool>"),
        Value::Number(_) => json!("<number>"),
        Value::String(_) => json!("<string>"),
        Value::Array(_) => json!("<array>"),
        Value::Object(fields) => fields.keys().map(|key| (key.clone(), json!("<masked>"))).collect(),
    }
}

/// JSON with one field a line.
pub fn pretty(value: &Value) -> String {
    serde_json::to_string_pretty(value).unwrap() + "\n"
}
