//! Bytes that the other ends of connections have not acknowledged.

use std::{
    io,
    net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr},
};

/// Tables of the kernel's TCP sockets, of this network namespace.
const SOCKET_TABLES: [&str; 2] = ["/proc/self/net/tcp", "/proc/self/net/tcp6"];
/// State of a listening socket in those tables. Its queue lengths are those of its backlog.
const LISTENING: &str = "0A";

/// Number of bytes that were written to connections from `listeners` and that the other ends have
/// not acknowledged, closed connections included.
pub async fn unacked_bytes(listeners: &[SocketAddr]) -> io::Result<u64> {
    let mut bytes = 0;
    for path in SOCKET_TABLES {
        match tokio::fs::read_to_string(path).await {
            Ok(table) => bytes += queued_bytes(&table, listeners),
            // Without IPv6 there is no table for it.
            Err(e) if e.kind() == io::ErrorKind::NotFound && path != SOCKET_TABLES[0] => {}
            Err(e) => return Err(e),
        }
    }
    Ok(bytes)
}

/// Sum of the send queues in a socket table of connections whose local address is one of
/// `listeners`.
fn queued_bytes(table: &str, listeners: &[SocketAddr]) -> u64 {
    let is_ours = |local: SocketAddr| {
        listeners.iter().any(|l| {
            let ip = l.ip().to_canonical();
            l.port() == local.port() && (ip.is_unspecified() || ip == local.ip())
        })
    };
    let queued = |line: &str| {
        let mut fields = line.split_ascii_whitespace().skip(1);
        let (local, state) = (parse_addr(fields.next()?)?, fields.nth(1)?);
        let (queue, _) = fields.next()?.split_once(':')?;
        let counts = state != LISTENING && is_ours(local);
        counts.then(|| u64::from_str_radix(queue, 16).ok()).flatten()
    };
    table.lines().filter_map(queued).sum()
}

/// Parses an address of a socket table: 32-bit words in the machine's byte order, and a port.
fn parse_addr(text: &str) -> Option<SocketAddr> {
    let (ip, port) = text.split_once(':')?;
    let word = |at: usize| u32::from_str_radix(ip.get(at * 8..at * 8 + 8)?, 16).ok();
    let ip = match ip.len() {
        8 => IpAddr::V4(Ipv4Addr::from(word(0)?.to_ne_bytes())),
        _ => {
            let words = [word(0)?, word(1)?, word(2)?, word(3)?];
            let mut bytes = [0; 16];
            for (at, word) in words.iter().enumerate() {
                bytes[at * 4..at * 4 + 4].copy_from_slice(&word.to_ne_bytes());
            }
            IpAddr::V6(Ipv6Addr::from(bytes)).to_canonical()
        }
    };
    Some(SocketAddr::new(ip, u16::from_str_radix(port, 16).ok()?))
}
