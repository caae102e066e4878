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
 * Reads the fields of a class annotated with {@link Setting}. All findings are reported
 * together. For example <pre>
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
	 * Returns a reader.
	 * @param program the program's name, shown in the help
	 * @param constructor gives an instance to fill
	 * @param <T> the class of the settings
	 * @return the reader
	 */
	public static <T> SettingsReader<T> of(String program, Supplier<T> constructor) {
		return new SettingsReader<>(program, constructor);
	}

	/**
	 * Reads the settings. Prints the help and throws {@link HelpShownException} if it is
	 * asked for.
	 * @param arguments the command line
	 * @param environment the environment variables
	 * @return the settings
	 * @throws Findings.InvalidInputException naming every fault
	 */
	public T read(String[] arguments, Map<String, String> environment) {
		T settings = this.constructor.get();
		Findings findings = new Findings();
		Namespace flags = parse(settings, arguments, findings);
		for (Field field : settingFields(settings)) {
			Setting setting = field.getAnnotation(Setting.class);
			String flagValue = (flags != null) ? flags.getString(setting.flag()) : null;
			Value value = choose(setting, flagValue, environment);
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
			// The command line may hold a secret, so it is not repeated.
			findings.add("command line", "", hideValues(String.valueOf(ex.getMessage())), "see --help for the flags");
			return null;
		}
	}

	// The parser quotes the rest of the command line after an unknown flag.
	private static String hideValues(String message) {
		int quoted = message.indexOf("unrecognized arguments:");
		if (quoted < 0) {
			return message;
		}
		String first = message.substring(quoted).replaceFirst("^unrecognized arguments: *", "").split(" ")[0];
		return "has an unknown flag " + ((first.startsWith("-") || first.startsWith("'-")) ? first : "");
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

	private static Value choose(Setting setting, @Nullable String flagValue, Map<String, String> environment) {
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
		Object converted = convert(field.getType(), setting, value.place(), text, findings);
		if (converted == null) {
			return;
		}
		try {
			field.setAccessible(true);
			field.set(settings, converted);
		}
		catch (IllegalAccessException ex) {
			throw new IllegalStateException("the field of " + setting.flag() + " cannot be set", ex);
		}
	}

	private static @Nullable Object convert(Class<?> type, Setting setting, String place, String text,
			Findings findings) {
		if (type == String.class) {
			if (!setting.pattern().isEmpty() && !text.matches(setting.pattern())) {
				findings.add(place, setting.secret() ? "(hidden)" : text, "is malformed", suggestion(setting));
				return null;
			}
			return text;
		}
		if (type == boolean.class) {
			if (!text.equals("true") && !text.equals("false")) {
				findings.add(place, text, "is not a boolean", "write true or false");
				return null;
			}
			return Boolean.valueOf(text);
		}
		return number(type, setting, place, text, findings);
	}

	private static @Nullable Object number(Class<?> type, Setting setting, String place, String text,
			Findings findings) {
		try {
			double value = Double.parseDouble(text);
			if (type != double.class && value != Math.rint(value)) {
				findings.add(place, text, "is not a whole number", suggestion(setting));
				return null;
			}
			if (!(value >= setting.minimum() && value <= setting.maximum())) {
				findings.add(place, text, "is outside " + setting.minimum() + " to " + setting.maximum(),
						suggestion(setting));
				return null;
			}
			if (type == int.class) {
				return (int) value;
			}
			return (type == long.class) ? (Object) (long) value : (Object) value;
		}
		catch (NumberFormatException ex) {
			findings.add(place, text, "is not a number", suggestion(setting));
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

	private record Value(String place, @Nullable String text) {
	}

	/**
	 * Thrown after the help was printed.
	 */
	public static final class HelpShownException extends RuntimeException {

		private static final long serialVersionUID = 1L;

	}

}
