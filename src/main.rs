//! `drumwheel`: command-line tool for operators.

mod cli;
mod cmd;
mod messages;

use std::process::ExitCode;

fn main() -> ExitCode {
    let command = cli::command().run();
    async_std::task::block_on(cmd::run(command))
}
