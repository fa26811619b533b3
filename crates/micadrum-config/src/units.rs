//! Quantities as written in configuration files, always with a unit.
use serde::{Deserialize, Deserializer};
use std::fmt;
use std::time::Duration;

const MICROS_PER_MILLI: u64 = 1_000;
const MICROS_PER_SECOND: u64 = 1_000_000;
const MICROS_PER_MINUTE: u64 = 60 * MICROS_PER_SECOND;
const MICROS_PER_HOUR: u64 = 60 * MICROS_PER_MINUTE;

/// A time span in whole microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Span(pub u64);

/// A rate per second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate(pub f64);

/// A share in percent.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub struct Percent(pub f64);

/// Why a quantity cannot be parsed.
#[derive(Clone, Debug, thiserror::Error, PartialEq, Eq)]
pub enum QuantityError {
    /// The text is not a number with the expected unit.
    #[error("{text:?} is not a {expected}")]
    Invalid {
        /// The text as written.
        text: String,
        /// The expected form, with an example.
        expected: &'static str,
    },
    /// The text lacks a unit of time.
    #[error("{0:?} needs a unit: expected us, ms, s, min or h")]
    UnitMissing(String),
    /// The text behind the number is not a supported unit of time.
    #[error("{0:?} is not a unit of time: expected us, ms, s, min or h")]
    UnitUnknown(String),
}

const EXPECTED_SPAN: &str = "span of time, such as \"2.5 s\"";
const EXPECTED_RATE: &str = "rate, such as \"75/s\"";
const EXPECTED_PERCENT: &str = "share, such as \"30%\"";

impl Span {
    /// Creates a span of `n` milliseconds.
    pub const fn millis(n: u64) -> Self {
        Self(n * MICROS_PER_MILLI)
    }

    /// Creates a span of `n` seconds.
    pub const fn seconds(n: u64) -> Self {
        Self(n * MICROS_PER_SECOND)
    }

    /// Returns the span in seconds.
    pub fn as_secs(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND as f64
    }

    /// Returns the span as a standard duration.
    pub const fn as_duration(self) -> Duration {
        Duration::from_micros(self.0)
    }

    /// Parses a span such as `2.5 s`, `110 ms`, `10 min` or `12 h`.
    ///
    /// # Errors
    /// Returns an error if the text is not a number with a unit of time.
    pub fn parse(text: &str) -> Result<Self, QuantityError> {
        let Quantity { number, unit } = Quantity::parse(text, EXPECTED_SPAN)?;
        let micros_per_unit = match unit {
            "us" => 1,
            "ms" => MICROS_PER_MILLI,
            "s" => MICROS_PER_SECOND,
            "min" => MICROS_PER_MINUTE,
            "h" => MICROS_PER_HOUR,
            "" => return Err(QuantityError::UnitMissing(text.to_owned())),
            other => return Err(QuantityError::UnitUnknown(other.to_owned())),
        };
        Ok(Self((number * micros_per_unit as f64) as u64))
    }
}

impl Rate {
    /// Parses a rate such as `75/s`.
    fn parse(text: &str) -> Result<Self, QuantityError> {
        match Quantity::parse(text, EXPECTED_RATE)? {
            Quantity { number, unit: "/s" } if number > 0.0 => Ok(Self(number)),
            _ => Err(QuantityError::Invalid { text: text.to_owned(), expected: EXPECTED_RATE }),
        }
    }
}

impl Percent {
    /// Returns the share as a fraction of 1.
    pub fn share(self) -> f64 {
        self.0 / 100.0
    }

    /// Parses a share such as `30%`.
    fn parse(text: &str) -> Result<Self, QuantityError> {
        match Quantity::parse(text, EXPECTED_PERCENT)? {
            Quantity { number, unit: "%" } => Ok(Self(number)),
            _ => Err(QuantityError::Invalid { text: text.to_owned(), expected: EXPECTED_PERCENT }),
        }
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            0 => f.write_str("0 s"),
            us if us % MICROS_PER_SECOND == 0 => write!(f, "{} s", us / MICROS_PER_SECOND),
            us if us % MICROS_PER_MILLI == 0 => write!(f, "{} ms", us / MICROS_PER_MILLI),
            us => write!(f, "{us} us"),
        }
    }
}

/// A number and the unit that follows it; the unit may be empty.
struct Quantity<'a> {
    number: f64,
    unit: &'a str,
}

impl<'a> Quantity<'a> {
    fn parse(text: &'a str, expected: &'static str) -> Result<Self, QuantityError> {
        let text = text.trim();
        let number_end = text.find(|char: char| !char.is_ascii_digit() && char != '.').unwrap_or(text.len());
        let (number, unit) = text.split_at(number_end);
        let number =
            number.parse().map_err(|_| QuantityError::Invalid { text: text.to_owned(), expected })?;
        Ok(Self { number, unit: unit.trim() })
    }
}

/// Implements [`Deserialize`] for a quantity that is written as a string.
macro_rules! deserialize_from_text {
    ($type:ty, $expecting:literal) => {
        impl<'de> Deserialize<'de> for $type {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                struct Visitor;
                impl serde::de::Visitor<'_> for Visitor {
                    type Value = $type;
                    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                        f.write_str($expecting)
                    }
                    fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<$type, E> {
                        <$type>::parse(text).map_err(E::custom)
                    }
                }
                deserializer.deserialize_any(Visitor)
            }
        }
    };
}

deserialize_from_text!(Span, "a span of time in quotes, such as \"2.5 s\"");
deserialize_from_text!(Rate, "a rate in quotes, such as \"75/s\"");
deserialize_from_text!(Percent, "a share in quotes, such as \"30%\"");
