//! The keys that a configuration holds: one that lacks a key of the first is cut short, whatever still stands in it.
//! Free of I/O and clocks.
use serde_json::Value;
use std::collections::BTreeMap;

/// The keys of a JSON value, all the way down.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigSchema {
    /// An object with these keys.
    Object(BTreeMap<String, ConfigSchema>),
    /// A list: what all of its elements have, and what each has that tells its `name`.
    List(Box<ConfigSchema>, BTreeMap<String, ConfigSchema>),
    /// Anything else.
    Leaf,
}

fn name(value: &Value) -> Option<&str> {
    value.get("name")?.as_str()
}

impl ConfigSchema {
    /// That of a value.
    pub fn of(value: &Value) -> Self {
        match value {
            Value::Object(fields) => {
                Self::Object(fields.iter().map(|(key, value)| (key.clone(), Self::of(value))).collect())
            }
            Value::Array(elements) => {
                let common = elements.iter().map(Self::of).reduce(Self::common).unwrap_or(Self::Leaf);
                let named = elements.iter().filter_map(|e| Some((name(e)?.to_owned(), Self::of(e))));
                Self::List(Box::new(common), named.collect())
            }
            _ => Self::Leaf,
        }
    }

    /// Without a key of an object, whose value may be anything.
    pub fn loosen(&mut self, key: &str) {
        if let Self::Object(fields) = self
            && let Some(field) = fields.get_mut(key)
        {
            *field = Self::Leaf;
        }
    }

    fn common(self, other: Self) -> Self {
        match (self, other) {
            (Self::Object(a), Self::Object(mut b)) => {
                let both =
                    a.into_iter().filter_map(|(key, a)| Some((key.clone(), a.common(b.remove(&key)?))));
                Self::Object(both.collect())
            }
            (a, b) if a == b => a,
            _ => Self::Leaf,
        }
    }

    /// The first key of this shape that `value` lacks, as a path.
    pub fn missing(&self, value: &Value) -> Option<String> {
        let below = |path: &str, missing: String| match missing.is_empty() {
            true => path.to_owned(),
            false => format!("{path}.{missing}"),
        };
        match self {
            Self::Leaf => None,
            Self::Object(fields) => fields.iter().find_map(|(key, shape)| match value.get(key) {
                Some(value) => shape.missing(value).map(|missing| below(key, missing)),
                None => Some(key.clone()),
            }),
            Self::List(common, named) => {
                let Some(elements) = value.as_array() else { return Some(String::new()) };
                elements.iter().enumerate().find_map(|(at, element)| {
                    let shape = name(element).and_then(|name| named.get(name)).unwrap_or(common);
                    shape.missing(element).map(|missing| below(&at.to_string(), missing))
                })
            }
        }
    }
}

#[cfg(test)]
mod tests;
