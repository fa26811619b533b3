//! What a whole fleet did, by second and destination, added up from the senders' traces. Free of I/O.
//!
//! A daemon that runs with `MICADRUM_TRACE=calls` logs a line for what passes between it and its partners. One sender's
//! lines look harmless where the sum of all is not.
use std::collections::BTreeMap;
use std::fmt::{self, Display};

/// What a sender's log tells of one destination within one second, added up.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Row {
    taken: u64,
    connects: u64,
    calls: u64,
    delivered: u64,
    failed_calls: u64,
    full: u64,
    told: u64,
    timed_out: u64,
    unreachable: u64,
    reset: u64,
    returned: u64,
    failed: u64,
    door: u64,
    reports: u64,
    left: f64,
    limit: f64,
}

/// Why a line of a trace cannot be counted.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum TraceError {
    /// A field is not there.
    #[error("`trace {kind}` lacks {field}")]
    Lacks {
        /// The kind of line.
        kind: String,
        /// The field.
        field: &'static str,
    },
    /// A field is not what it has to be.
    #[error("{field}={value:?} is no number")]
    NoNumber {
        /// The field.
        field: &'static str,
        /// What stands there.
        value: String,
    },
}

/// The sum over all logs that were read.
#[derive(Default)]
pub struct Count {
    /// By destination and second of the wall clock.
    rows: BTreeMap<(u64, u64), Row>,
    lists: BTreeMap<u64, u64>,
}

/// The fields of a line, `name=value` each.
struct Fields<'a> {
    kind: &'a str,
    all: BTreeMap<&'a str, &'a str>,
}

impl Fields<'_> {
    fn get(&self, field: &'static str) -> Result<&str, TraceError> {
        let found = self.all.get(field).copied();
        found.ok_or_else(|| TraceError::Lacks { kind: self.kind.to_owned(), field })
    }

    fn number<T: std::str::FromStr>(&self, field: &'static str) -> Result<T, TraceError> {
        let value = self.get(field)?;
        value.parse().map_err(|_| TraceError::NoNumber { field, value: value.to_owned() })
    }
}

impl Count {
    /// Adds a line of a log; one that is no trace counts for nothing. Whatever stands before the word `trace`, such as a
    /// time of its own, is passed over.
    ///
    /// # Errors
    /// Why a trace cannot be counted.
    pub fn add(&mut self, line: &str) -> Result<(), TraceError> {
        let mut words = line.split_whitespace().skip_while(|word| *word != "trace").skip(1);
        let Some(kind) = words.next() else { return Ok(()) };
        let fields = Fields { kind, all: words.filter_map(|word| word.split_once('=')).collect() };
        let second = fields.number::<u64>("at")? / 1_000_000;
        if kind == "list" {
            *self.lists.entry(second).or_default() += 1;
            return Ok(());
        }
        let row = self.rows.entry((fields.number("destination")?, second)).or_default();
        match kind {
            "taken" => row.taken += 1,
            "connect" => row.connects += 1,
            "ended" => match fields.get("how")? {
                "returned" => row.returned += 1,
                "door" => row.door += 1,
                _ => row.failed += 1,
            },
            "call" => {
                row.calls += 1;
                match fields.get("outcome")? {
                    "success" => row.delivered += fields.number::<u64>("messages")?,
                    "failure" => row.failed_calls += 1,
                    "full" => row.full += 1,
                    "timeout" => row.timed_out += 1,
                    "unreachable" => row.unreachable += 1,
                    "reset" => row.reset += 1,
                    _ => {}
                }
                row.told += u64::from(fields.get("wait_us").is_ok());
                if fields.get("left").is_ok() {
                    row.reports += 1;
                    row.left += fields.number::<f64>("left")?;
                    row.limit += fields.number::<f64>("limit")?;
                }
            }
            _ => {}
        }
        Ok(())
    }
}

impl Display for Count {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.rows.keys().map(|(_, second)| second).chain(self.lists.keys());
        let Some(start) = seconds.min().copied() else { return writeln!(f, "no traces") };
        let mut of = None;
        for ((destination, second), row) in &self.rows {
            if of != Some(destination) {
                writeln!(f, "destination {destination}")?;
                writeln!(
                    f,
                    "  second taken connects calls delivered errors full told timeouts unreachable resets \
                     returned failed door  left  limit"
                )?;
                of = Some(destination);
            }
            let mean = |sum: f64| if row.reports > 0 { sum / row.reports as f64 } else { 0.0 };
            writeln!(
                f,
                "  {:6} {:5} {:8} {:5} {:9} {:6} {:4} {:4} {:8} {:11} {:6} {:8} {:6} {:4} {:5.2} {:6.1}",
                second - start,
                row.taken,
                row.connects,
                row.calls,
                row.delivered,
                row.failed_calls,
                row.full,
                row.told,
                row.timed_out,
                row.unreachable,
                row.reset,
                row.returned,
                row.failed,
                row.door,
                mean(row.left),
                mean(row.limit),
            )?;
        }
        writeln!(f, "lists heard, by second")?;
        for (second, lists) in &self.lists {
            writeln!(f, "  {:6} {lists:5}", second - start)?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
