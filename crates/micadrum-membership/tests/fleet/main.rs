//! The fleet as its members see it, in simulated time: the effect of each failure on views and incarnations.
mod adversaries;
mod incarnations;
mod links;
mod simulated_fleet;
mod views;
