//! The entry daemon, built as part of this crate for the tests that start it as a process.

fn main() -> eyre::Result<()> {
    cardamomslip_cli::daemon::run()
}
