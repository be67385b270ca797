//! The schedule is its seed's; each checker finds what is planted and nothing else.

mod bounded;
mod ending;
mod failing;
mod own_words;
mod planted;
mod requests;
mod schedule;
