//! An instance that stops waits for bytes that the other end has not acknowledged: they are lost if
//! the machine goes away with the process.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    time::Duration,
};

use relay::unacked::unacked_bytes;
use tokio::time::{sleep, timeout};

/// Longest time for which the kernel delays an acknowledgement, with room for a loaded machine.
const ACK_TIMEOUT: Duration = Duration::from_secs(5);

async fn all_acknowledged(listener: SocketAddr) {
    while unacked_bytes(&[listener]).await.expect("it is told") > 0 {
        sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn bytes_count_until_the_other_end_acknowledges_them() {
    // Not to "localhost": another process may listen on the same port of its other address.
    for (addr, host) in [
        ("127.0.0.1:0", "127.0.0.1"),
        ("0.0.0.0:0", "127.0.0.1"),
        ("[::1]:0", "::1"),
        ("[::]:0", "::1"),
        ("[::]:0", "127.0.0.1"),
    ] {
        // Without IPv6 there is nothing to check there.
        let Ok(listener) = TcpListener::bind(addr) else { continue };
        let addr = listener.local_addr().expect("it is bound");
        let mut client = TcpStream::connect((host, addr.port())).expect("it listens");
        let (mut server, _) = listener.accept().expect("the client has connected");
        assert_eq!(unacked_bytes(&[addr]).await.expect("it is told"), 0, "{addr}");
        server.set_nonblocking(true).expect("the mode can be set");
        let written = loop {
            match server.write(&[0; 65_536]) {
                Ok(count) => assert!(count > 0, "it takes bytes or none"),
                Err(e) => break e.kind(),
            }
        };
        assert_eq!(written, ErrorKind::WouldBlock);
        drop(server);
        let unacked = unacked_bytes(&[addr]).await.expect("it is told");
        assert!(unacked > 0, "{addr}: a closed connection counts until all is acknowledged");
        let others = [TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("free")];
        assert_eq!(unacked_bytes(&others).await.expect("it is told"), 0, "of another listener");
        client.read_to_end(&mut Vec::new()).expect("the connection ends");
        let acknowledged = timeout(ACK_TIMEOUT, all_acknowledged(addr)).await;
        assert!(acknowledged.is_ok(), "{addr}: all was read");
    }
}
