//! The images that a machine holds and fetches, as far as its heartbeats show it.
//!
//! The cache evicts the image that was used least recently; the newest image always stays.

use crate::core::model::ImageKey;
use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

/// An image that a machine holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CachedImage {
    /// The image.
    pub image: ImageKey,
    /// Its size in GB.
    pub size_gb: f64,
}

/// An image that a machine is fetching.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ImageFetch {
    /// When the fetch was first known to be under way.
    pub since: Instant,
    /// The size of the image in GB.
    pub size_gb: f64,
}

/// The images of one machine.
#[derive(Clone, Debug, Default)]
pub struct ImageCache {
    /// Least recently used first.
    cached: VecDeque<CachedImage>,
    fetches: BTreeMap<ImageKey, ImageFetch>,
}

impl ImageCache {
    /// Whether the machine holds an image.
    pub fn contains(&self, image: ImageKey) -> bool {
        self.cached.iter().any(|c| c.image == image)
    }

    /// Adds an image as the most recently used one, and evicts none.
    pub fn push(&mut self, image: CachedImage) {
        self.cached.push_back(image);
    }

    /// The fetch of an image, if one is under way.
    pub fn fetch(&self, image: ImageKey) -> Option<&ImageFetch> {
        self.fetches.get(&image)
    }

    /// How many images are being fetched.
    pub fn fetch_count(&self) -> usize {
        self.fetches.len()
    }

    /// The size of all images that are being fetched, in GB.
    pub fn fetching_gb(&self) -> f64 {
        self.fetches.values().map(|fetch| fetch.size_gb).sum()
    }

    /// A fetch is under way, from now on unless it was known before.
    pub(in crate::core) fn fetch_started(&mut self, now: Instant, image: ImageKey, size_gb: f64) {
        let fetch = ImageFetch {
            since: now,
            size_gb,
        };
        self.fetches.entry(image).or_insert(fetch);
    }

    /// An image is in use, so the machine holds it. Older ones go until all fit into `capacity_gb`.
    pub(in crate::core) fn used(&mut self, image: ImageKey, size_gb: f64, capacity_gb: f64) {
        self.fetches.remove(&image);
        if self.cached.back().is_some_and(|c| c.image == image) {
            return;
        }
        self.cached.retain(|c| c.image != image);
        self.cached.push_back(CachedImage { image, size_gb });
        while self.cached.len() > 1 && self.cached_gb() > capacity_gb {
            self.cached.pop_front();
        }
    }

    /// Nothing is placed on the machine any more: what it was fetching is no longer fetched.
    pub(in crate::core) fn clear_fetches(&mut self) {
        self.fetches.clear();
    }

    /// The agent has restarted with an empty cache.
    pub(in crate::core) fn clear(&mut self) {
        self.cached.clear();
        self.fetches.clear();
    }

    fn cached_gb(&self) -> f64 {
        self.cached.iter().map(|c| c.size_gb).sum()
    }
}
