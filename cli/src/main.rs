//! The `parsleywall` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    parsleywall_cli::run_from_env()
}
