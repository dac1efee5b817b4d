//! Tests of when idle machines count as surplus.

use super::*;

const WINDOW: Micros = Micros::secs(10);

fn record(window: &mut IdleWindow, at_s: u64, idle: usize) -> usize {
    window.record(Micros::secs(at_s), idle, WINDOW)
}

#[test]
fn no_surplus_until_window_is_full() {
    let mut window = IdleWindow::default();
    assert_eq!(record(&mut window, 100, 5), 0);
    assert_eq!(record(&mut window, 109, 5), 0);
    assert_eq!(record(&mut window, 110, 5), 5);
}

#[test]
fn surplus_is_minimum_within_window() {
    let mut window = IdleWindow::default();
    record(&mut window, 100, 5);
    record(&mut window, 104, 2);
    assert_eq!(record(&mut window, 110, 7), 2);
    assert_eq!(record(&mut window, 114, 7), 2);
    assert_eq!(record(&mut window, 115, 7), 7);
}

#[test]
fn released_machines_are_not_counted_as_surplus_again() {
    let mut window = IdleWindow::default();
    record(&mut window, 100, 5);
    assert_eq!(record(&mut window, 110, 5), 5);
    window.subtract(5);
    assert_eq!(record(&mut window, 111, 3), 0);
}
