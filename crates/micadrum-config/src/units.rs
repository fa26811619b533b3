//! Quantities as people write them in files, always with their unit.
use serde::{Deserialize, Deserializer};
use std::fmt;

/// A length of time, in whole microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Span(pub u64);

/// How often a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate(pub f64);

/// A share, in hundredths.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub struct Percent(pub f64);

impl Span {
    /// So many milliseconds.
    pub const fn millis(n: u64) -> Self {
        Self(n * 1000)
    }

    /// So many seconds.
    pub const fn seconds(n: u64) -> Self {
        Self(n * 1_000_000)
    }

    /// In seconds.
    pub fn as_secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl Percent {
    /// As a fraction of 1.
    pub fn share(self) -> f64 {
        self.0 / 100.0
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            0 => f.write_str("0 s"),
            us if us % 1_000_000 == 0 => write!(f, "{} s", us / 1_000_000),
            us if us % 1_000 == 0 => write!(f, "{} ms", us / 1_000),
            us => write!(f, "{us} us"),
        }
    }
}

fn number<'a>(text: &'a str, what: &str) -> Result<(f64, &'a str), String> {
    let text = text.trim();
    let end = text.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(text.len());
    let (number, unit) = text.split_at(end);
    let number: f64 = number.parse().map_err(|_| format!("{text:?} is no {what}"))?;
    Ok((number, unit.trim()))
}

impl Span {
    /// Reads `2.5 s`, `110 ms`, `10 min`, `12 h`.
    ///
    /// # Errors
    /// What is wrong with the text.
    pub fn parse(text: &str) -> Result<Self, String> {
        let (number, unit) = number(text, "span of time, such as \"2.5 s\"")?;
        let factor = match unit {
            "us" => 1.0,
            "ms" => 1e3,
            "s" => 1e6,
            "min" => 60e6,
            "h" => 3600e6,
            "" => return Err(format!("{text:?} needs a unit: us, ms, s, min or h")),
            other => return Err(format!("{other:?} is no unit of time: us, ms, s, min or h")),
        };
        Ok(Self((number * factor) as u64))
    }
}

macro_rules! from_text {
    ($type:ty, $expecting:literal, $parse:expr) => {
        impl<'de> Deserialize<'de> for $type {
            fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
                struct Visitor;
                impl serde::de::Visitor<'_> for Visitor {
                    type Value = $type;
                    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                        f.write_str($expecting)
                    }
                    fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<$type, E> {
                        let parse: fn(&str) -> Result<$type, String> = $parse;
                        parse(text).map_err(E::custom)
                    }
                }
                from.deserialize_any(Visitor)
            }
        }
    };
}

from_text!(Span, "a span of time in quotes, such as \"2.5 s\"", Span::parse);
from_text!(
    Rate,
    "a rate in quotes, such as \"75/s\"",
    |text| match number(text, "rate, such as \"75/s\"")? {
        (n, "/s") if n > 0.0 => Ok(Rate(n)),
        _ => Err(format!("{text:?} is no rate, such as \"75/s\"")),
    }
);
from_text!(Percent, "a share in quotes, such as \"30%\"", |text| {
    match number(text, "share, such as \"30%\"")? {
        (n, "%") => Ok(Percent(n)),
        _ => Err(format!("{text:?} is no share, such as \"30%\"")),
    }
});
