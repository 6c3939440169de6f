//! Command line of parsleywall, callable from other tools of this workspace.

mod commands;
mod logging;
mod signals;
mod table;

use std::process::ExitCode;

use crate::commands::Arguments;

/// Runs the command that the process's arguments name, to its end.
pub fn run_from_env() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let mut builder = match arguments.is_single_threaded() {
        true => tokio::runtime::Builder::new_current_thread(),
        false => tokio::runtime::Builder::new_multi_thread(),
    };
    match builder.enable_all().build() {
        Ok(runtime) => runtime.block_on(arguments.run()),
        Err(err) => {
            eprintln!("error: the runtime could not start: {err}");
            ExitCode::FAILURE
        }
    }
}
