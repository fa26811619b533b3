//! micadrum decides what a delivery service does with each outbound message: when to send it, where,
//! whether to try again, and when to give up. It performs no I/O and reads no clock: a host feeds
//! [`Event`]s to [`Sender::step`] and carries out the [`Action`]s.
//!
//! ```
//! use micadrum::*;
//! let second = 1_000_000;
//! let settings = Settings {
//!     classes: vec![Class {
//!         aim: Span(2 * second), deadline: Span(16 * second), worth: 1.0, late_worth: 0.5,
//!         repeat: Repeat::Safe, ordered: false,
//!     }],
//!     kinds: vec![Kind { routes_apart: false, batch: 1 }],
//!     tenants: vec![], over_share_worth: 1.0, zone: ZoneId(0), senders: 1, slots: 4, most_held: 50,
//!     max_attempts: 6, period: Span(5_000), connect_timeout: Span(second), decay: Decay::Even,
//!     discovery: Discovery::Pushed, hints: Hints::None, probes: false, cancel: true,
//!     ends_noticed: false, calls_expire_whole: false,
//!     rules: Rules {
//!         drain_grace: Span(second), cold_share: 0.2, ramp: Span(10 * second), overload_factor: 2.0,
//!         fall: Span(second), order_settle: Span(0), must_ask_in: Span(10 * second),
//!     },
//! };
//! let mut sender = Sender::new(settings, 7)?;
//! let entry = Entry {
//!     endpoint: EndpointId(0), destination: DestinationId(9), kind: KindId(0), zone: ZoneId(0),
//!     listing: Listing::Active, hint: 1.0,
//! };
//! let message = Message {
//!     id: MessageId(1), class: ClassId(0), tenant: None, key: None, destination: DestinationId(9),
//!     budget: Span(16 * second),
//! };
//! let mut actions = Vec::new();
//! sender.step(Time(0), &[Event::FullList(vec![entry]), Event::Message(message)], &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { message: MessageId(1), .. })));
//! # Ok::<(), SettingsError>(())
//! ```
#![forbid(unsafe_code)]

pub mod daemon;
mod decision;
mod index;
mod interface;
mod observe;
mod pacing;
pub mod profile;
mod restore;

pub use decision::DeliveryEngine;
pub use interface::*;
pub use observe::RouteSnapshot;
