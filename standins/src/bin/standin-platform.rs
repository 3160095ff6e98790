//! The test double of the platform as a process.

use bpaf::Bpaf;
use standins::platform::Platform;
use std::net::SocketAddr;

/// Test double of the platform: object API and list of VMs
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Args {
    /// Address to listen on
    listen: SocketAddr,
}

fn main() -> std::io::Result<()> {
    let args = args().run();
    async_std::task::block_on(Platform::default().app().listen(args.listen))
}
