//! The fleet as its members see it, in simulated time: what each failure does to views and lives.
mod adversaries;
mod incarnations;
mod links;
mod simulated_fleet;
mod views;
