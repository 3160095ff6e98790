//! A bare byte relay: the lower bound with which the latency added by drumwheel is compared.

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use bpaf::Bpaf;
use std::net::SocketAddr;

/// Relays every connection to another address, byte for byte
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Args {
    /// Address to listen on
    listen: SocketAddr,
    /// Address to relay to
    to: SocketAddr,
}

fn main() -> std::io::Result<()> {
    let args = args().run();
    std::env::set_var("ASYNC_STD_THREAD_COUNT", "1");
    task::block_on(async move {
        let listener = TcpListener::bind(args.listen).await?;
        loop {
            let (client, _) = listener.accept().await?;
            let Ok(target) = TcpStream::connect(args.to).await else {
                continue;
            };
            client.set_nodelay(true)?;
            target.set_nodelay(true)?;
            task::spawn_local(copy(client.clone(), target.clone()));
            task::spawn_local(copy(target, client));
        }
    })
}

async fn copy(from: TcpStream, to: TcpStream) {
    async_std::io::copy(&from, &to).await.ok();
    to.shutdown(std::net::Shutdown::Both).ok();
}
