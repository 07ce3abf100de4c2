//! The daemon of an entry VM, built beside the tests that start it as a process.

fn main() -> eyre::Result<()> {
    cardamomslip_cli::daemon::run()
}
