//! Tests with a simulated fleet: the effect of failures and attacks on membership views, incarnations and
//! links.
mod adversaries;
mod incarnations;
mod links;
mod simulated_fleet;
mod views;
