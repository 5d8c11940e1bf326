package org.flamingochute.scheduling.core;

import java.util.Arrays;

/** Number of tasks by image; its images can be visited without allocation. */
final class ImageCounts {
  private String[] images = new String[2];
  private int[] counts = new int[2];
  private int size;

  void add(String image) {
    int position = find(image);
    if (position < 0) {
      if (size == images.length) {
        images = Arrays.copyOf(images, 2 * size);
        counts = Arrays.copyOf(counts, 2 * size);
      }
      position = size++;
      images[position] = image;
      counts[position] = 0;
    }
    counts[position]++;
  }

  /** Removes one task of an image; does nothing if there is none. */
  void remove(String image) {
    int position = find(image);
    if (position < 0 || --counts[position] > 0) {
      return;
    }
    size--;
    images[position] = images[size];
    counts[position] = counts[size];
    images[size] = null;
  }

  private int find(String image) {
    for (int position = 0; position < size; position++) {
      if (images[position].equals(image)) {
        return position;
      }
    }
    return -1;
  }

  /** Returns the number of different images. */
  int size() {
    return size;
  }

  boolean isEmpty() {
    return size == 0;
  }

  /** Returns one of the images; positions start at 0 and change when tasks are removed. */
  String image(int position) {
    return images[position];
  }
}
