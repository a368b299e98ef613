//! What an engine is taken to keep of prompts.

use sched::prefix::Cache;
use sched::request::Part;

fn prompt(parts: &[(u64, u64)]) -> Vec<Part> {
    parts.iter().map(|&(id, tokens)| Part { id, tokens }).collect()
}

macro_rules! cases {
    ($($name:ident($cache:ident) $body:block)*) => {
        $(#[test] fn $name() { let mut $cache = Cache::default(); $body })*
    };
}

cases! {
    nothing_is_kept_of_a_new_prompt(cache) {
        cache.insert(&prompt(&[(1, 500)]), 0);
        assert_eq!(cache.cached(&prompt(&[(2, 500)])), 0);
    }

    a_line_that_has_grown_is_kept_up_to_its_former_length(cache) {
        cache.insert(&prompt(&[(1, 500), (2, 300)]), 0);
        assert_eq!(cache.cached(&prompt(&[(1, 500), (2, 900)])), 800);
    }

    a_part_counts_only_behind_parts_that_are_kept_whole(cache) {
        cache.insert(&prompt(&[(1, 500), (2, 300), (3, 100)]), 0);
        assert_eq!(cache.cached(&prompt(&[(4, 500), (2, 300)])), 0);
        assert_eq!(cache.cached(&prompt(&[(1, 500), (2, 400), (3, 100)])), 800);
    }

    a_branch_of_a_line_keeps_what_it_shares(cache) {
        cache.insert(&prompt(&[(1, 500), (2, 900)]), 0);
        assert_eq!(cache.cached(&prompt(&[(1, 500), (2, 700), (9, 200)])), 1_200);
    }

    the_line_that_was_used_longest_ago_yields_first(cache) {
        cache.insert(&prompt(&[(1, 500), (2, 1_000)]), 2_000);
        cache.insert(&prompt(&[(1, 500), (3, 1_000)]), 2_000);
        assert_eq!(cache.cached(&prompt(&[(1, 500), (2, 1_000)])), 500);
        assert_eq!(cache.cached(&prompt(&[(1, 500), (3, 1_000)])), 1_500);
    }

    what_is_used_again_does_not_yield(cache) {
        cache.insert(&prompt(&[(2, 800)]), 2_000);
        cache.insert(&prompt(&[(3, 800)]), 2_000);
        cache.insert(&prompt(&[(2, 900)]), 2_000);
        cache.insert(&prompt(&[(4, 800)]), 2_000);
        assert_eq!(cache.cached(&prompt(&[(2, 900)])), 900);
        assert_eq!(cache.cached(&prompt(&[(3, 800)])), 0);
    }

    a_prompt_larger_than_the_memory_does_no_harm(cache) {
        cache.insert(&prompt(&[(1, 500), (2, 5_000)]), 2_000);
        cache.insert(&prompt(&[(3, 700)]), 2_000);
        assert_eq!(cache.cached(&prompt(&[(3, 700)])), 700);
    }

    an_engine_of_unknown_memory_is_bounded_too(cache) {
        for id in 0..10_000 {
            cache.insert(&prompt(&[(id, 10)]), 0);
        }
        assert_eq!(cache.cached(&prompt(&[(0, 10)])), 0);
        assert_eq!(cache.cached(&prompt(&[(9_999, 10)])), 10);
    }
}
