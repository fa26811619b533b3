use super::*;
use serde_json::json;

/// Guards against applying a truncated file, and against rejecting a file for additional keys.
#[test]
fn missing_key_is_reported_with_its_path() {
    let first = json!({"a": {"b": 1}, "known": {"x": 1},
        "lanes": [{"name": "l", "aim": 1, "fifo": true}, {"name": "m", "aim": 2}]});
    let mut schema = ConfigSchema::of(&first);
    schema.allow_any_value("known");
    let missing = |value: Value| schema.missing_key(&value);
    let lanes = json!([{"name": "n", "aim": 3}, {"name": "l", "aim": 1, "fifo": false}]);
    assert_eq!(missing(json!({"a": {"b": "c", "d": 1}, "known": 1, "lanes": lanes, "e": 1})), None);
    assert_eq!(missing(json!({"a": {"b": 1}, "known": 1, "lanes": []})), None);
    for (value, key) in [
        (json!({}), "a"),
        (json!({"a": {"d": 1}, "known": 1, "lanes": []}), "a.b"),
        (json!({"a": {"b": 1}, "lanes": []}), "known"),
        (json!({"a": {"b": 1}, "known": 1, "lanes": 1}), "lanes"),
        (json!({"a": {"b": 1}, "known": 1, "lanes": [{"name": "n"}]}), "lanes.0.aim"),
        (json!({"a": {"b": 1}, "known": 1, "lanes": [{"name": "l", "aim": 1}]}), "lanes.0.fifo"),
    ] {
        assert_eq!(missing(value).as_deref(), Some(key));
    }
}
