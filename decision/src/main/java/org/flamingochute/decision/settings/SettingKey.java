package org.flamingochute.decision.settings;

import com.google.protobuf.Descriptors.FieldDescriptor;
import io.vavr.control.Either;
import java.math.BigInteger;
import java.util.regex.Pattern;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.schema.Rules;
import org.flamingochute.schema.SettingRule;

/**
 * One key of a section: a field of the schema with its rule.
 *
 * <p>Example: for the field {@code int32 slots = 2 [(setting) = {default_value: "8", minimum: 1,
 * maximum: 4096}]} the text {@code 12} is parsed to the number 12, {@code twelve} is refused as a
 * wrong type, and {@code 0} as out of range.
 */
final class SettingKey {

  private static final Pattern WHOLE_NUMBER = Pattern.compile("-?[0-9]+");

  private static final Pattern DECIMAL_NUMBER = Pattern.compile("-?[0-9]+(\\.[0-9]+)?");

  private final FieldDescriptor field;
  private final SettingRule rule;

  SettingKey(FieldDescriptor field) {
    this.field = field;
    this.rule = field.getOptions().getExtension(Rules.setting);
  }

  String name() {
    return field.getName();
  }

  FieldDescriptor field() {
    return field;
  }

  SettingRule rule() {
    return rule;
  }

  /** Returns a description of the type for error messages and documentation. */
  String typeName() {
    return switch (field.getJavaType()) {
      case INT, LONG -> "a whole number";
      case FLOAT, DOUBLE -> "a number";
      case BOOLEAN -> "true or false";
      case ENUM -> "one of the names of " + field.getEnumType().getName();
      default -> "one line of text";
    };
  }

  /**
   * Parses the text of a value.
   *
   * @param source the source of the text, for error messages
   * @param section the section that contains the key
   * @return the value in the type of the field, or the error
   */
  Either<ErrorReport, Object> parse(String source, SectionName section, String text) {
    return switch (field.getJavaType()) {
      case INT, LONG -> parseNumber(source, section, text);
      case DOUBLE -> parseDecimal(source, section, text);
      case BOOLEAN -> parseBoolean(source, section, text);
      case ENUM -> parseEnum(source, section, text);
      default -> parseText(source, section, text);
    };
  }

  /** Formats a value of the field. */
  String format(Object value) {
    if (value instanceof com.google.protobuf.Descriptors.EnumValueDescriptor enumValue) {
      return enumValue.getName();
    }
    return String.valueOf(value);
  }

  private Either<ErrorReport, Object> parseNumber(String source, SectionName section, String text) {
    if (!WHOLE_NUMBER.matcher(text).matches()) {
      return wrongType(source, section, text);
    }
    BigInteger number = new BigInteger(text);
    boolean isInRange =
        number.compareTo(BigInteger.valueOf(minimum())) >= 0
            && number.compareTo(BigInteger.valueOf(maximum())) <= 0;
    if (!isInRange) {
      return Either.left(outOfRange(source, section, text));
    }
    if (field.getJavaType() == FieldDescriptor.JavaType.INT) {
      return Either.right(number.intValueExact());
    }
    return Either.right(number.longValueExact());
  }

  private Either<ErrorReport, Object> parseDecimal(
      String source, SectionName section, String text) {
    if (!DECIMAL_NUMBER.matcher(text).matches()) {
      return wrongType(source, section, text);
    }
    double number = Double.parseDouble(text);
    if (isLimited() && (number < rule.getMinimum() || number > rule.getMaximum())) {
      return Either.left(outOfRange(source, section, text));
    }
    return Either.right(number);
  }

  private ErrorReport outOfRange(String source, SectionName section, String text) {
    return ErrorReport.of(
        ErrorCode.SETTINGS_OUT_OF_RANGE,
        source,
        section,
        name(),
        text,
        minimum(),
        maximum(),
        rule.getUnit());
  }

  /** Returns the smallest allowed number. */
  long minimum() {
    if (isLimited()) {
      return rule.getMinimum();
    }
    return isInt() ? Integer.MIN_VALUE : Long.MIN_VALUE;
  }

  /** Returns the largest allowed number. */
  long maximum() {
    if (isLimited()) {
      return rule.getMaximum();
    }
    return isInt() ? Integer.MAX_VALUE : Long.MAX_VALUE;
  }

  /** Returns whether the rule limits the number. */
  boolean isLimited() {
    return rule.getMinimum() != 0 || rule.getMaximum() != 0;
  }

  private boolean isInt() {
    return field.getJavaType() == FieldDescriptor.JavaType.INT;
  }

  private Either<ErrorReport, Object> parseBoolean(
      String source, SectionName section, String text) {
    return switch (text) {
      case "true" -> Either.right(true);
      case "false" -> Either.right(false);
      default -> wrongType(source, section, text);
    };
  }

  private Either<ErrorReport, Object> parseEnum(String source, SectionName section, String text) {
    Object value = field.getEnumType().findValueByName(text);
    if (value == null) {
      return wrongType(source, section, text);
    }
    return Either.right(value);
  }

  private Either<ErrorReport, Object> parseText(String source, SectionName section, String text) {
    if (!isOneLine(text)) {
      return wrongType(source, section, text);
    }
    String pattern = rule.getPattern();
    if (!pattern.isEmpty() && !text.matches(pattern)) {
      return Either.left(
          ErrorReport.of(ErrorCode.SETTINGS_BAD_PATTERN, source, section, name(), text, pattern));
    }
    return Either.right(text);
  }

  private static boolean isOneLine(String text) {
    if (!text.equals(text.strip())) {
      return false;
    }
    return text.chars().noneMatch(Character::isISOControl);
  }

  private Either<ErrorReport, Object> wrongType(String source, SectionName section, String text) {
    return Either.left(
        ErrorReport.of(ErrorCode.SETTINGS_WRONG_TYPE, source, section, name(), text, typeName()));
  }
}
