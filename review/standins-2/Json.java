import java.util.*;

/** Minimal JSON reader and writer for the stand-ins. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) { this.text = text; }

    static Object parse(String text) {
        Json json = new Json(text);
        Object value = json.value();
        json.space();
        if (json.at != text.length()) throw new IllegalArgumentException("text after JSON");
        return value;
    }

    private void space() { while (at < text.length() && text.charAt(at) <= ' ') at++; }

    private Object value() {
        space();
        char c = text.charAt(at);
        if (c == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            at++; space();
            if (text.charAt(at) == '}') { at++; return map; }
            while (true) {
                space();
                String key = string();
                space(); expect(':');
                map.put(key, value());
                space();
                if (text.charAt(at) == ',') { at++; continue; }
                expect('}');
                return map;
            }
        }
        if (c == '[') {
            List<Object> list = new ArrayList<>();
            at++; space();
            if (text.charAt(at) == ']') { at++; return list; }
            while (true) {
                list.add(value());
                space();
                if (text.charAt(at) == ',') { at++; continue; }
                expect(']');
                return list;
            }
        }
        if (c == '"') return string();
        int start = at;
        while (at < text.length() && "+-.eE0123456789truefalsn".indexOf(text.charAt(at)) >= 0) at++;
        String word = text.substring(start, at);
        if (word.equals("true")) return true;
        if (word.equals("false")) return false;
        if (word.equals("null")) return null;
        if (word.matches("-?[0-9]+")) return Long.parseLong(word);
        return Double.parseDouble(word);
    }

    private void expect(char c) {
        if (text.charAt(at) != c) throw new IllegalArgumentException("expected " + c + " at " + at);
        at++;
    }

    private String string() {
        expect('"');
        StringBuilder out = new StringBuilder();
        while (true) {
            char c = text.charAt(at++);
            if (c == '"') return out.toString();
            if (c != '\\') { out.append(c); continue; }
            char e = text.charAt(at++);
            switch (e) {
                case 'n': out.append('\n'); break;
                case 'r': out.append('\r'); break;
                case 't': out.append('\t'); break;
                case 'b': out.append('\b'); break;
                case 'f': out.append('\f'); break;
                case 'u': out.append((char) Integer.parseInt(text.substring(at, at + 4), 16)); at += 4; break;
                default: out.append(e);
            }
        }
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map) {
            out.append('{');
            String sep = "";
            for (Map.Entry<?, ?> e : ((Map<?, ?>) value).entrySet()) {
                out.append(sep); write(e.getKey().toString(), out); out.append(':'); write(e.getValue(), out);
                sep = ",";
            }
            out.append('}');
        } else if (value instanceof Collection) {
            out.append('[');
            String sep = "";
            for (Object o : (Collection<?>) value) { out.append(sep); write(o, out); sep = ","; }
            out.append(']');
        } else if (value instanceof CharSequence) {
            out.append('"');
            for (char c : value.toString().toCharArray()) {
                if (c == '"' || c == '\\') out.append('\\').append(c);
                else if (c < ' ') out.append(String.format("\\u%04x", (int) c));
                else out.append(c);
            }
            out.append('"');
        } else out.append(value);
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> map(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) map.put((String) pairs[i], pairs[i + 1]);
        return map;
    }
}
