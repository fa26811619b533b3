//! The keys that every configuration has to contain. A configuration that lacks a key of the first one is
//! treated as truncated, even if it is valid otherwise. No I/O and no clock.
use serde_json::Value;
use std::collections::BTreeMap;

/// The keys of a JSON value at all levels of nesting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigSchema {
    /// An object with these keys.
    Object(BTreeMap<String, ConfigSchema>),
    /// An array: the keys that all elements have in common, and by name the keys of each element that has a
    /// `name`.
    Array(Box<ConfigSchema>, BTreeMap<String, ConfigSchema>),
    /// A value without keys, or one that is not checked.
    Any,
}

/// Returns the string under the key `name`, if there is one.
fn name(value: &Value) -> Option<&str> {
    value.get("name")?.as_str()
}

impl ConfigSchema {
    /// Returns the schema of a value.
    pub fn of(value: &Value) -> Self {
        match value {
            Value::Object(fields) => {
                Self::Object(fields.iter().map(|(key, value)| (key.clone(), Self::of(value))).collect())
            }
            Value::Array(elements) => {
                let common = elements.iter().map(Self::of).reduce(Self::common).unwrap_or(Self::Any);
                let named = elements
                    .iter()
                    .filter_map(|element| Some((name(element)?.to_owned(), Self::of(element))));
                Self::Array(Box::new(common), named.collect())
            }
            _ => Self::Any,
        }
    }

    /// Accepts any value for a top-level key. The key itself remains required.
    pub fn allow_any_value(&mut self, key: &str) {
        if let Self::Object(fields) = self
            && let Some(field) = fields.get_mut(key)
        {
            *field = Self::Any;
        }
    }

    /// Returns the keys that two schemas have in common.
    fn common(self, other: Self) -> Self {
        match (self, other) {
            (Self::Object(left), Self::Object(mut right)) => {
                let both = left
                    .into_iter()
                    .filter_map(|(key, schema)| Some((key.clone(), schema.common(right.remove(&key)?))));
                Self::Object(both.collect())
            }
            (left, right) if left == right => left,
            _ => Self::Any,
        }
    }

    /// Returns the path of the first key of this schema that `value` lacks.
    pub fn missing_key(&self, value: &Value) -> Option<String> {
        match self {
            Self::Any => None,
            Self::Object(fields) => fields.iter().find_map(|(key, schema)| match value.get(key) {
                Some(value) => schema.missing_key(value).map(|missing| join(key, &missing)),
                None => Some(key.clone()),
            }),
            Self::Array(common, named) => {
                let Some(elements) = value.as_array() else { return Some(String::new()) };
                elements.iter().enumerate().find_map(|(index, element)| {
                    let schema = name(element).and_then(|name| named.get(name)).unwrap_or(common);
                    schema.missing_key(element).map(|missing| join(&index.to_string(), &missing))
                })
            }
        }
    }
}

/// Joins a key and the path below it. An empty path refers to the value of the key itself.
fn join(key: &str, path: &str) -> String {
    if path.is_empty() { key.to_owned() } else { format!("{key}.{path}") }
}

#[cfg(test)]
mod tests;
