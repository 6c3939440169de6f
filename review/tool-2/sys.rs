//! The few calls of the system's C library that the standard library has no name for.

use std::io::Error;
use std::io::Result;

pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

mod c {
    unsafe extern "C" {
        pub fn kill(pid: i32, signal: i32) -> i32;
        pub fn listen(socket: i32, backlog: i32) -> i32;
    }
}

/// Sends a signal to a process that this one has started.
pub fn signal(pid: u32, signal: i32) {
    // SAFETY: the call takes no pointers.
    unsafe { c::kill(pid as i32, signal) };
}

/// Sets the length of the queue of new connections of a listening socket.
pub fn set_backlog(socket: i32, backlog: i32) -> Result<()> {
    // SAFETY: the call takes no pointers.
    match unsafe { c::listen(socket, backlog) } {
        0 => Ok(()),
        _ => Err(Error::last_os_error()),
    }
}
