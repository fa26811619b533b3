//! The cases of the second independent review. `review-2 CASE ROOT RECORD` plays one, and exits with 1 if the
//! rule was broken, 0 if it held, and 2 if the case could not run.
mod http;
mod json;
mod settings;
mod world;

mod cold_partner;
mod order_handover;
mod refused_sent;
mod upgrades;
mod wrong_partner;

use std::path::Path;
use world::{CANNOT_RUN, Case, limit_time};

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, root, record] = &arguments[..] else {
        eprintln!("usage: review-2 CASE ROOT RECORD");
        std::process::exit(CANNOT_RUN);
    };
    limit_time(115);
    let case = match Case::new(Path::new(root), Path::new(record)) {
        Ok(case) => case,
        Err(error) => {
            eprintln!("{error}");
            std::process::exit(CANNOT_RUN);
        }
    };
    match name.as_str() {
        "order-handover" => order_handover::run(&case),
        "cold-partner" => cold_partner::run(&case),
        "refused-sent" => refused_sent::run(&case),
        "wrong-partner" => wrong_partner::run(&case),
        "upgrades" => upgrades::run(&case),
        _ => case.end(CANNOT_RUN, "no such case"),
    }
}
