//! Scripts of the review: each plays one case against real host processes and stand-ins.
//!
//! Usage: `review-harness CASE FOLDER`. Writes `record.txt` into FOLDER. Exits with 0 if the rule
//! held, 1 if it was broken, 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod fleet;
mod left_instance;
mod record;
mod removed_hosts;
mod split_limit;
mod tenant_load;
mod withdrawn_key;

use std::path::PathBuf;
use std::process::ExitCode;

use crate::record::Record;

/// Exit status of a case that could not run.
const NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-harness CASE FOLDER");
        return ExitCode::from(NOT_RUN);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let mut record = Record::default();
    record.note(format!("case {case}, disruption: {has_trouble}"));
    let Ok(runtime) = compio::runtime::Runtime::new() else {
        return ExitCode::from(NOT_RUN);
    };
    let result = runtime.block_on(async {
        match case.as_str() {
            "withdrawn-key" => withdrawn_key::play(&mut record, has_trouble).await,
            "left-instance" => left_instance::play(&mut record, has_trouble).await,
            "split-limit" => split_limit::play(&mut record, has_trouble).await,
            _ => Err(format!("unknown case {case}")),
        }
    });
    let status = match result {
        Ok(true) => {
            record.note("the rule held".into());
            0
        }
        Ok(false) => {
            record.note("the rule was broken".into());
            1
        }
        Err(cause) => {
            record.note(format!("the case could not run: {cause}"));
            NOT_RUN
        }
    };
    if let Err(error) = record.write(&PathBuf::from(folder).join("record.txt")) {
        eprintln!("cannot write the record: {error}");
        return ExitCode::from(NOT_RUN);
    }
    ExitCode::from(status)
}
