//! Parameters of the simulated service that hold for every scenario.
use crate::units::Span;

/// A message that is delivered within this time earns its full worth.
pub const LATENCY_OBJECTIVE: Span = Span::millis(2500);
/// Share of its worth that a message earns when it is delivered at its deadline.
pub const DEADLINE_WORTH_SHARE: f64 = 0.3;
/// How long a destination recognizes and drops a duplicate of a message with an idempotency key.
pub const DEDUPLICATION_WINDOW: Span = Span::seconds(5);
/// The tenants, with their shares of the traffic.
pub const TENANTS: [(&str, f64); 3] = [("cestnina", 0.41), ("parkirisca", 0.41), ("vinjete", 0.18)];
/// Maximum number of attempts to deliver one message.
pub const MAX_ATTEMPTS: u32 = 6;
/// How long after the start of its draining an endpoint may still be called.
pub const DRAIN_GRACE: Span = Span::seconds(1);
/// With discovery by polling, a sender must know a change of the endpoint list this long after the change or
/// its latest poll, whichever is later; after a failed poll, four times as long.
pub const MAX_POLL_INTERVAL: Span = Span::seconds(10);
/// Share of its full capacity that a destination has at the beginning of its slow start, right after an
/// outage.
pub const INITIAL_CAPACITY_SHARE: f64 = 0.19;
/// Duration of the slow start of a destination, during which its capacity grows linearly to the full one.
pub const SLOW_START_DURATION: Span = Span::seconds(11);
/// A destination in slow start fails when it receives more than this multiple of its current capacity within
/// [`OVERLOAD_WINDOW`].
pub const OVERLOAD_FACTOR: f64 = 2.0;
/// Length of the sliding window in which the calls to a destination in slow start are counted.
pub const OVERLOAD_WINDOW: Span = Span::millis(1500);
/// Timeout of the senders for establishing a connection.
pub const CONNECT_TIMEOUT: Span = Span::millis(1500);
