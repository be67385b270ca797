//! What workers name as the requests a second that they take: how it is read, and which
//! of several words holds.

mod reading;
mod words;
