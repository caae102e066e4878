package org.plantainspur.adapters.settings;

import java.lang.reflect.Field;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.jspecify.annotations.Nullable;

import org.plantainspur.core.finding.Findings;

/**
 * Reads the fields annotated with {@link Setting} of a class from the command line and
 * the environment. All invalid settings are reported together. For example <pre>
 * HostSettings settings = SettingsReader.of("plantainspur-host", HostSettings::new).read(args, System.getenv());
 * </pre>
 *
 * @param <T> the class of the settings
 */
public final class SettingsReader<T> {

	private final String program;

	private final Supplier<T> constructor;

	private SettingsReader(String program, Supplier<T> constructor) {
		this.program = program;
		this.constructor = constructor;
	}

	/**
	 * Creates a reader.
	 * @param program the name of the program, shown in the help text
	 * @param constructor creates the instance whose fields are set
	 * @param <T> the class of the settings
	 * @return the reader
	 */
	public static <T> SettingsReader<T> of(String program, Supplier<T> constructor) {
		return new SettingsReader<>(program, constructor);
	}

	/**
	 * Reads the settings. Prints the help text and throws {@link HelpShownException} if
	 * the command line asks for help.
	 * @param arguments the command-line arguments
	 * @param environment the environment variables
	 * @return a new instance with all settings assigned
	 * @throws Findings.InvalidInputException if settings are missing or invalid; it names
	 * each of them
	 */
	public T read(String[] arguments, Map<String, String> environment) {
		T settings = this.constructor.get();
		Findings findings = new Findings();
		Namespace flags = parse(settings, arguments, findings);
		for (Field field : settingFields(settings)) {
			Setting setting = field.getAnnotation(Setting.class);
			String flagValue = (flags != null) ? flags.getString(setting.flag()) : null;
			Value value = resolve(setting, flagValue, environment);
			if (value.text() == null) {
				findings.add(setting.flag() + " or " + setting.variable(), "", "is not set", suggestion(setting));
			}
			else {
				assign(settings, field, setting, value, findings);
			}
		}
		findings.throwIfAny();
		return settings;
	}

	private @Nullable Namespace parse(T settings, String[] arguments, Findings findings) {
		ArgumentParser parser = ArgumentParsers.newFor(this.program).build().defaultHelp(false);
		for (Field field : settingFields(settings)) {
			Setting setting = field.getAnnotation(Setting.class);
			parser.addArgument(setting.flag()).dest(setting.flag()).metavar("VALUE").help(help(setting));
		}
		try {
			return parser.parseArgs(arguments);
		}
		catch (HelpScreenException ex) {
			throw new HelpShownException();
		}
		catch (ArgumentParserException ex) {
			// The command line may contain a secret, so the finding does not show it.
			findings.add("command line", "", withoutValues(String.valueOf(ex.getMessage())),
					"see --help for the flags");
			return null;
		}
	}

	// After an unknown flag, the parser's message quotes the rest of the command line,
	// which may contain a secret.
	private static String withoutValues(String message) {
		int quoteStart = message.indexOf("unrecognized arguments:");
		if (quoteStart < 0) {
			return message;
		}
		String firstQuoted = message.substring(quoteStart).replaceFirst("^unrecognized arguments: *", "").split(" ")[0];
		return "has an unknown flag "
				+ ((firstQuoted.startsWith("-") || firstQuoted.startsWith("'-")) ? firstQuoted : "");
	}

	private static String help(Setting setting) {
		String defaultText = setting.defaultValue().equals(Setting.REQUIRED) ? "required"
				: "default: " + setting.defaultValue();
		return (setting.help() + " (" + setting.variable() + "; " + defaultText + ")").replace("%", "%%");
	}

	private static List<Field> settingFields(Object settings) {
		List<Field> fields = new ArrayList<>();
		for (Field field : settings.getClass().getDeclaredFields()) {
			if (field.isAnnotationPresent(Setting.class)) {
				fields.add(field);
			}
		}
		return fields;
	}

	private static Value resolve(Setting setting, @Nullable String flagValue, Map<String, String> environment) {
		if (flagValue != null) {
			return new Value(setting.flag(), flagValue);
		}
		String variable = environment.get(setting.variable());
		if (variable != null) {
			return new Value(setting.variable(), variable);
		}
		String defaultValue = setting.defaultValue();
		return new Value(setting.flag(), defaultValue.equals(Setting.REQUIRED) ? null : defaultValue);
	}

	private static void assign(Object settings, Field field, Setting setting, Value value, Findings findings) {
		String text = String.valueOf(value.text());
		Object converted = convert(field.getType(), setting, value.source(), text, findings);
		if (converted == null) {
			return;
		}
		try {
			field.setAccessible(true);
			field.set(settings, converted);
		}
		catch (IllegalAccessException ex) {
			throw new IllegalStateException("the field of " + setting.flag() + " cannot be assigned", ex);
		}
	}

	private static @Nullable Object convert(Class<?> type, Setting setting, String source, String text,
			Findings findings) {
		if (type == String.class) {
			if (!setting.pattern().isEmpty() && !text.matches(setting.pattern())) {
				findings.add(source, setting.secret() ? "(hidden)" : text, "is malformed", suggestion(setting));
				return null;
			}
			return text;
		}
		if (type == boolean.class) {
			if (!text.equals("true") && !text.equals("false")) {
				findings.add(source, text, "is not a boolean", "write true or false");
				return null;
			}
			return Boolean.valueOf(text);
		}
		return convertNumber(type, setting, source, text, findings);
	}

	private static @Nullable Object convertNumber(Class<?> type, Setting setting, String source, String text,
			Findings findings) {
		try {
			double value = Double.parseDouble(text);
			if (type != double.class && value != Math.rint(value)) {
				findings.add(source, text, "is not a whole number", suggestion(setting));
				return null;
			}
			if (!(value >= setting.minimum() && value <= setting.maximum())) {
				findings.add(source, text, "is outside " + setting.minimum() + " to " + setting.maximum(),
						suggestion(setting));
				return null;
			}
			if (type == int.class) {
				return (int) value;
			}
			return (type == long.class) ? (Object) (long) value : (Object) value;
		}
		catch (NumberFormatException ex) {
			findings.add(source, text, "is not a number", suggestion(setting));
			return null;
		}
	}

	private static String suggestion(Setting setting) {
		String example = setting.example();
		if (example.isEmpty() && !setting.defaultValue().equals(Setting.REQUIRED)) {
			example = setting.defaultValue();
		}
		return example.isEmpty() ? "see --help" : "write a value such as " + example;
	}

	/**
	 * The text of a setting before its conversion.
	 *
	 * @param source the flag or variable that error messages name
	 * @param text the text, {@code null} if a required setting is missing
	 */
	private record Value(String source, @Nullable String text) {
	}

	/**
	 * Thrown after the help text has been printed.
	 */
	public static final class HelpShownException extends RuntimeException {

		private static final long serialVersionUID = 1L;

	}

}
