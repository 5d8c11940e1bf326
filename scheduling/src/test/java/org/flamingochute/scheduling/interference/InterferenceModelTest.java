package org.flamingochute.scheduling.interference;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.util.List;
import java.util.Random;
import org.flamingochute.decision.identity.InstanceId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against levels that do not follow the effect of a filler on the tails beside it. */
class InterferenceModelTest {
  private static final String SERVING = "web";
  private static final String DISTURBING = "disturbing";
  private static final String CALM = "calm";
  private static final long SAMPLE_INTERVAL_MILLISECONDS = 500;
  private static final double USUAL_TAIL = 0.4;
  private static final double NOISE = 0.05;

  private final InterferenceModel model = new InterferenceModel();
  private final Random random = new Random(1);
  private long now;

  private void observe(String worker, double tailRatio, FillerIntensity... fillers) {
    double noisy = tailRatio + NOISE * random.nextGaussian();
    model.observe(SERVING, new InstanceId(worker), noisy, List.of(fillers), now);
  }

  /** Observes two workers without fillers, and lets time pass. */
  private void step() {
    observe("alone-1", USUAL_TAIL);
    observe("alone-2", USUAL_TAIL);
    now += SAMPLE_INTERVAL_MILLISECONDS;
    model.update(now);
  }

  private void runAlone() {
    runBeside(20, 0, CALM, 0);
  }

  /** Runs a filler beside serving tasks on the given number of workers. */
  private void runBeside(int samples, int workers, String filler, double effect) {
    for (int sample = 0; sample < samples; sample++) {
      for (int worker = 0; worker < workers; worker++) {
        observe(filler + worker, USUAL_TAIL + effect, new FillerIntensity(filler, 1));
      }
      step();
    }
  }

  private InterferenceLevel levelOf(String filler) {
    return model.levelOf(SERVING, filler);
  }

  @Test
  void oneOfTwoFillersDisturbs() {
    runAlone();
    runBeside(10, 3, DISTURBING, 0.5);
    runBeside(10, 3, CALM, 0.02);
    assertThat(levelOf(DISTURBING), is(InterferenceLevel.INTERFERING));
    assertThat(levelOf(CALM), is(InterferenceLevel.HARMLESS));
    assertThat(model.levelOf("other", DISTURBING), is(InterferenceLevel.UNKNOWN));
  }

  @Test
  void successorKnowsNothing() {
    assertThat(levelOf(DISTURBING), is(InterferenceLevel.UNKNOWN));
  }

  /** A single worker must not condemn an image, however many samples it supplies. */
  @ParameterizedTest
  @CsvSource({"0, UNKNOWN", "1, UNKNOWN", "2, HARMLESS", "3, HARMLESS"})
  void singleBadWorkerDoesNotCondemnAnImage(int goodWorkers, InterferenceLevel expected) {
    runAlone();
    for (int sample = 0; sample < 30; sample++) {
      observe("bad", USUAL_TAIL + 1.5, new FillerIntensity(CALM, 1));
      runBeside(1, goodWorkers, CALM, 0);
    }
    assertThat(levelOf(CALM), is(expected));
  }

  /** Tasks that always have more load than others must not make their fillers look disturbing. */
  @Test
  void unevenTailsAreNoInterference() {
    for (int sample = 0; sample < 20; sample++) {
      for (String loaded : List.of("loaded-1", "loaded-2")) {
        observe(loaded, USUAL_TAIL + 0.4);
      }
      observe("alone-3", USUAL_TAIL);
      observe("alone-4", USUAL_TAIL);
      step();
    }
    for (int sample = 0; sample < 20; sample++) {
      for (String loaded : List.of("loaded-1", "loaded-2")) {
        observe(loaded, USUAL_TAIL + 0.4, new FillerIntensity(CALM, 1));
      }
      step();
    }
    assertThat(levelOf(CALM), is(not(InterferenceLevel.INTERFERING)));
  }

  /** A load peak of all serving tasks must not be attributed to the fillers. */
  @Test
  void loadPeakIsNoInterference() {
    runAlone();
    runBeside(10, 3, CALM, 0);
    for (int sample = 0; sample < 30; sample++) {
      for (String worker : List.of("alone-1", "alone-2", "alone-3")) {
        observe(worker, USUAL_TAIL + 0.5);
      }
      for (String worker : List.of("calm0", "calm1", "calm2")) {
        observe(worker, USUAL_TAIL + 0.5, new FillerIntensity(CALM, 1));
      }
      now += SAMPLE_INTERVAL_MILLISECONDS;
      model.update(now);
      assertThat(levelOf(CALM), is(not(InterferenceLevel.INTERFERING)));
    }
  }

  @Test
  void changedBehaviourIsLearnedAgain() {
    runAlone();
    runBeside(20, 3, CALM, 0);
    runBeside(60, 3, CALM, 0.5);
    assertThat(levelOf(CALM), is(InterferenceLevel.INTERFERING));
    runBeside(120, 3, CALM, 0);
    assertThat(levelOf(CALM), is(InterferenceLevel.HARMLESS));
  }

  @Test
  void levelIsForgottenWithoutSamples() {
    runAlone();
    runBeside(20, 3, DISTURBING, 0.5);
    runBeside(20, 0, DISTURBING, 0);
    assertThat(levelOf(DISTURBING), is(InterferenceLevel.INTERFERING));
    runBeside(160, 0, DISTURBING, 0);
    assertThat(levelOf(DISTURBING), is(InterferenceLevel.UNKNOWN));
  }

  /** The effect is that at full pace, so that a paced filler does not seem harmless. */
  @Test
  void pacedFillerCountsByItsPace() {
    runAlone();
    double pace = 0.25;
    for (int sample = 0; sample < 40; sample++) {
      for (String worker : List.of("a", "b", "c")) {
        observe(worker, USUAL_TAIL + 0.5 * pace, new FillerIntensity(DISTURBING, pace));
      }
      step();
    }
    assertThat(levelOf(DISTURBING), is(InterferenceLevel.INTERFERING));
  }

  /** Beside a filler that is known to disturb, a calm one must not be taken for the cause. */
  @Test
  void knownEffectIsNotAttributedToOthers() {
    runAlone();
    runBeside(10, 3, DISTURBING, 0.5);
    for (int sample = 0; sample < 20; sample++) {
      for (String worker : List.of("a", "b", "c")) {
        observe(
            worker,
            USUAL_TAIL + 0.5,
            new FillerIntensity(DISTURBING, 1),
            new FillerIntensity(CALM, 1));
      }
      runBeside(1, 3, DISTURBING, 0.5);
    }
    assertThat(levelOf(DISTURBING), is(InterferenceLevel.INTERFERING));
    assertThat(levelOf(CALM), is(InterferenceLevel.HARMLESS));
  }

  /** Two unknown fillers that always run together cannot be told apart. */
  @Test
  void fillersThatAlwaysRunTogetherStayUnknown() {
    runAlone();
    for (int sample = 0; sample < 20; sample++) {
      for (String worker : List.of("a", "b", "c")) {
        observe(
            worker,
            USUAL_TAIL + 0.5,
            new FillerIntensity(DISTURBING, 1),
            new FillerIntensity(CALM, 1));
      }
      step();
    }
    assertThat(levelOf(DISTURBING), is(InterferenceLevel.UNKNOWN));
    assertThat(levelOf(CALM), is(InterferenceLevel.UNKNOWN));
  }

  /** Images whose names never repeat must not fill the memory. */
  @Test
  void memoryIsBoundedAndFreedWithoutSamples() {
    runAlone();
    for (int image = 0; image < 2_000; image++) {
      observe("w", USUAL_TAIL, new FillerIntensity("image-" + image, 1));
    }
    assertThat(model.pairCount(), is(512));
    runBeside(400, 0, CALM, 0);
    assertThat(model.pairCount(), lessThanOrEqualTo(1));
  }
}
