//! The daemon of an entry VM.

fn main() -> eyre::Result<()> {
    cardamomslip_cli::daemon::run()
}
