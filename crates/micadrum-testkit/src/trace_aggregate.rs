//! Sums up the call traces of a fleet by destination and second. Does no I/O.
//!
//! A daemon that runs with `MICADRUM_TRACE=calls` logs a line for each call to a destination. The load on a
//! destination is the sum over all senders.
use std::collections::BTreeMap;
use std::fmt::{self, Display};
use std::str::FromStr;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Sums over all senders for one destination and second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Row {
    accepted: u64,
    connects: u64,
    calls: u64,
    delivered: u64,
    failed_calls: u64,
    rejected_calls: u64,
    retry_after: u64,
    timed_out: u64,
    unreachable: u64,
    reset: u64,
    returned: u64,
    failed: u64,
    /// Messages that ended by a request to the admin endpoint.
    ended_by_admin: u64,
    /// Number of load reports.
    reports: u64,
    /// Sum of the remaining shares of capacity in the load reports.
    remaining_share: f64,
    /// Sum of the limits in the load reports.
    limit: f64,
}

/// Why a line of a trace is invalid.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum TraceError {
    /// A field is missing.
    #[error("the field {field} is missing in a `trace {kind}` line")]
    MissingField {
        /// The kind of the line: the word after `trace`.
        kind: String,
        /// Name of the missing field.
        field: &'static str,
    },
    /// The value of a field is not a number.
    #[error("the field {field} has the value {value:?}, expected a number")]
    InvalidNumber {
        /// Name of the field whose value is invalid.
        field: &'static str,
        /// The value in the line.
        value: String,
    },
}

/// The sums over all logs that were read.
#[derive(Default)]
pub struct TraceAggregate {
    /// The totals, by destination and second of the wall clock.
    rows: BTreeMap<(u64, u64), Row>,
    /// Number of endpoint lists that senders received, by second of the wall clock.
    lists: BTreeMap<u64, u64>,
}

impl TraceAggregate {
    /// Adds a line of a log. A line that is not a trace is ignored, and so is any text before the word
    /// `trace`, such as a timestamp.
    ///
    /// # Errors
    /// Returns an error if a field of a trace is missing or is not a number.
    pub fn add(&mut self, line: &str) -> Result<(), TraceError> {
        let Some(trace) = Trace::parse(line) else { return Ok(()) };
        let second = trace.number::<u64>("at")? / MICROS_PER_SECOND;
        if trace.kind == "list" {
            *self.lists.entry(second).or_default() += 1;
            return Ok(());
        }
        let row = self.rows.entry((trace.number("destination")?, second)).or_default();
        match trace.kind {
            "taken" => row.accepted += 1,
            "connect" => row.connects += 1,
            "ended" => row.add_end(&trace)?,
            "call" => row.add_call(&trace)?,
            _ => {}
        }
        Ok(())
    }

    /// Returns the first second with a trace.
    fn first_second(&self) -> Option<u64> {
        self.rows.keys().map(|(_, second)| second).chain(self.lists.keys()).min().copied()
    }
}

/// A line of a log that is a trace.
struct Trace<'a> {
    kind: &'a str,
    /// Values of the fields, which are written `name=value`.
    fields: BTreeMap<&'a str, &'a str>,
}

impl<'a> Trace<'a> {
    fn parse(line: &'a str) -> Option<Self> {
        let mut words = line.split_whitespace().skip_while(|word| *word != "trace").skip(1);
        let kind = words.next()?;
        Some(Self { kind, fields: words.filter_map(|word| word.split_once('=')).collect() })
    }

    fn has(&self, field: &str) -> bool {
        self.fields.contains_key(field)
    }

    fn get(&self, field: &'static str) -> Result<&'a str, TraceError> {
        let value = self.fields.get(field).copied();
        value.ok_or_else(|| TraceError::MissingField { kind: self.kind.to_owned(), field })
    }

    fn number<T: FromStr>(&self, field: &'static str) -> Result<T, TraceError> {
        let value = self.get(field)?;
        value.parse().map_err(|_| TraceError::InvalidNumber { field, value: value.to_owned() })
    }
}

impl Row {
    fn add_end(&mut self, trace: &Trace) -> Result<(), TraceError> {
        match trace.get("how")? {
            "returned" => self.returned += 1,
            "door" => self.ended_by_admin += 1,
            _ => self.failed += 1,
        }
        Ok(())
    }

    fn add_call(&mut self, trace: &Trace) -> Result<(), TraceError> {
        self.calls += 1;
        match trace.get("outcome")? {
            "success" => self.delivered += trace.number::<u64>("messages")?,
            "failure" => self.failed_calls += 1,
            "full" => self.rejected_calls += 1,
            "timeout" => self.timed_out += 1,
            "unreachable" => self.unreachable += 1,
            "reset" => self.reset += 1,
            _ => {}
        }
        self.retry_after += u64::from(trace.has("wait_us"));
        if trace.has("left") {
            self.reports += 1;
            self.remaining_share += trace.number::<f64>("left")?;
            self.limit += trace.number::<f64>("limit")?;
        }
        Ok(())
    }

    /// Returns the mean over the load reports; 0 if there are none.
    fn mean(&self, sum: f64) -> f64 {
        if self.reports > 0 { sum / self.reports as f64 } else { 0.0 }
    }

    fn write(&self, f: &mut fmt::Formatter<'_>, second: u64) -> fmt::Result {
        writeln!(
            f,
            "  {:6} {:8} {:8} {:5} {:9} {:6} {:8} {:11} {:8} {:11} {:6} {:8} {:6} {:5} {:9.2} {:6.1}",
            second,
            self.accepted,
            self.connects,
            self.calls,
            self.delivered,
            self.failed_calls,
            self.rejected_calls,
            self.retry_after,
            self.timed_out,
            self.unreachable,
            self.reset,
            self.returned,
            self.failed,
            self.ended_by_admin,
            self.mean(self.remaining_share),
            self.mean(self.limit),
        )
    }
}

impl Display for TraceAggregate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(start) = self.first_second() else { return writeln!(f, "no traces") };
        let mut current_destination = None;
        for ((destination, second), row) in &self.rows {
            if current_destination != Some(destination) {
                writeln!(f, "destination {destination}")?;
                writeln!(
                    f,
                    "  second accepted connects calls delivered errors rejected retry_after timeouts unreachable \
                     resets returned failed admin remaining  limit"
                )?;
                current_destination = Some(destination);
            }
            row.write(f, second - start)?;
        }
        writeln!(f, "endpoint lists received, by second")?;
        for (second, lists) in &self.lists {
            writeln!(f, "  {:6} {lists:5}", second - start)?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
