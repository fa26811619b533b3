//! The fleet as its members see it, in simulated time: what each failure does to views and lives.
mod links;
mod lives;
mod strangers;
mod views;
mod world;
