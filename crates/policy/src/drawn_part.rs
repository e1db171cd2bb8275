//! Parts of long lists, drawn at random, for messages with room for a few items.
//!
//! A part begins anywhere and goes on from the start of the list, so that each
//! item is in as many parts as any other.

/// Rotates `items` so that the one at `draw`, a random number from 0 to 1, is first.
pub(crate) fn rotate_by_draw<T>(items: &mut [T], draw: f64) {
    let first = (draw * items.len() as f64) as usize;
    items.rotate_left(first.min(items.len().saturating_sub(1)));
}

/// Keeps all of `items`, or the part of `max_count` that `draw`, a random number from 0 to 1,
/// begins.
pub(crate) fn keep_drawn_part<T>(items: &mut Vec<T>, max_count: usize, draw: f64) {
    if items.len() > max_count {
        rotate_by_draw(items, draw);
        items.truncate(max_count);
    }
}
