package baobabcroft.standin.engine;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Answer text, determined by the seed, the version, its quality, the prompt and the token limit.
 *
 * <p>The first token is the answer's quality score, for the rating service's stand-in. The router does not read it.
 */
public final class AnswerText {
    private static final Pattern SCORE = Pattern.compile("score=([01]\\.\\d+)");
    private static final double SCORE_SPREAD = 0.1;
    private static final int MIN_TOKENS = 8;
    private static final int MAX_TOKENS = 64;
    private static final int WORDS = 10_000;
    private static final int CHARACTERS_PER_TOKEN = 4;

    private final ImmutableList<String> tokens;

    private AnswerText(ImmutableList<String> tokens) {
        this.tokens = tokens;
    }

    static AnswerText of(long seed, String version, String prompt, double quality, Optional<Integer> maxTokens) {
        SplittableRandom random = new SplittableRandom(hash(seed + "/" + version + "/" + prompt));
        double offset = SCORE_SPREAD * (2 * random.nextDouble() - 1);
        double score = Math.max(0, Math.min(1, quality + offset));
        int drawn = random.nextInt(MIN_TOKENS, MAX_TOKENS + 1);
        int count = Math.max(1, maxTokens.orElse(drawn));
        List<String> tokens = new ArrayList<>();
        tokens.add(String.format(Locale.ROOT, "score=%.3f", score));
        while (tokens.size() < count) {
            tokens.add(" w" + random.nextInt(WORDS));
        }
        return new AnswerText(ImmutableList.copyOf(tokens));
    }

    /**
     * Returns the quality score embedded in an answer.
     *
     * @param answer the answer's text
     * @return the score from 0 to 1, or empty if the text contains none
     */
    public static Optional<Double> scoreOf(String answer) {
        Matcher matcher = SCORE.matcher(answer);
        return matcher.find() ? Optional.of(Double.valueOf(matcher.group(1))) : Optional.empty();
    }

    static int tokensOf(String prompt) {
        return Math.max(1, prompt.length() / CHARACTERS_PER_TOKEN);
    }

    /** Returns the keys of a prompt's complete blocks. Each key depends on the block and all text before it. */
    static List<Long> blocksOf(String prompt, int blockTokens) {
        int blockCharacters = blockTokens * CHARACTERS_PER_TOKEN;
        List<Long> blocks = new ArrayList<>();
        long key = 0;
        for (int end = blockCharacters; end <= prompt.length(); end += blockCharacters) {
            key = hash(key + prompt.substring(end - blockCharacters, end));
            blocks.add(key);
        }
        return blocks;
    }

    private static long hash(String text) {
        return Hashing.sipHash24().hashString(text, StandardCharsets.UTF_8).asLong();
    }

    ImmutableList<String> tokens() {
        return tokens;
    }

    String fullText() {
        return String.join("", tokens);
    }
}
