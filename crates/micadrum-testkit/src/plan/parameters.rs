//! Parameters of the simulated service that hold for every scenario.
use crate::units::Span;

/// Latency objective: a message delivered within this time earns its full worth.
pub const LATENCY_OBJECTIVE: Span = Span::millis(2500);
/// Share of a message's worth that is left at its deadline.
pub const DEADLINE_WORTH_SHARE: f64 = 0.3;
/// How long a destination recognizes and drops a repeat of a message with an idempotency key.
pub const DEDUPLICATION_WINDOW: Span = Span::seconds(5);
/// The tenants, with their shares of the traffic.
pub const TENANTS: [(&str, f64); 3] = [("cestnina", 0.41), ("parkirisca", 0.41), ("vinjete", 0.18)];
/// Maximum number of attempts to deliver one message.
pub const MAX_ATTEMPTS: u32 = 6;
/// How long after it starts draining an endpoint may still be called.
pub const DRAIN_GRACE: Span = Span::seconds(1);
/// With discovery by polling, a sender that has not polled for this long counts as informed of a change; after a failed
/// poll, four times this.
pub const MAX_POLL_INTERVAL: Span = Span::seconds(10);
/// Share of its capacity that a destination has right after an outage: the start of its slow start.
pub const INITIAL_CAPACITY_SHARE: f64 = 0.19;
/// Duration of the slow start, after which a destination has its full capacity.
pub const SLOW_START_DURATION: Span = Span::seconds(11);
/// A destination in slow start fails when it receives more than this multiple of its current capacity ...
pub const OVERLOAD_FACTOR: f64 = 2.0;
/// ... over a window of this length.
pub const OVERLOAD_WINDOW: Span = Span::millis(1500);
/// A connection that is not established within this time never is.
pub const CONNECT_TIMEOUT: Span = Span::millis(1500);
